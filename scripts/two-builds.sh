#!/usr/bin/env bash
# Rolls a fleet from another build to this one and back, under load: routers of both
# serve side by side, and each reads the configuration that the other one stored.
#
#   scripts/two-builds.sh FOLDER   FOLDER holds the other build's jujubeford
set -euo pipefail
cd "$(dirname "$0")/.."

other=${1:?FOLDER of the other build}/jujubeford
export DIR=${DIR:-out/two-builds} PORT_BASE=${PORT_BASE:-12000}
export ROUTERS=4 DOMAINS=2 ENGINES=4 PLAIN=2 ORGANISATIONS=16 LARGE=3
HOST=127.0.0.1
STORE=$HOST:$((PORT_BASE + 500))
load=

finish() {
	status=$?
	[ -z "$load" ] || kill "$load" 2>/dev/null || true
	scripts/fleet.sh down || status=1
	exit "$status"
}

admin() { echo "$HOST:$((PORT_BASE + 300 + $1))"; }

# submit PROGRAM SHARE changes the first organisation's share with one build.
submit() {
	sed "0,/^    share: .*/s//    share: $2/; /^# digest:/d" "$DIR/config.yaml" >"$DIR/changed.yaml"
	"$1" config submit -store "$STORE" "$DIR/changed.yaml"
}

# agree GENERATION waits until each router has that generation in force.
agree() {
	local i tries
	for ((i = 1; i <= ROUTERS; i++)); do
		for ((tries = 0; tries < 100; tries++)); do
			curl -sf --max-time 1 "http://$(admin "$i")/metrics" |
				grep -E "^jujubeford_config_generation(\{.*\})? $1\$" >/dev/null && continue 2
			sleep 0.1
		done
		echo "r$i has not generation $1 in force" >&2
		return 1
	done
	echo "generation $1 is in force at all routers"
}

[ -x bin/jujubeford ] || { echo "make build comes first" >&2; exit 1; }
mkdir -p bin/other
cp "$other" bin/other/jujubeford
trap finish EXIT
PROGRAM=bin/other/jujubeford scripts/fleet.sh up
agree 1

bin/loadgen run -fleet "$DIR/fleet.yaml" -scenario scenarios/rolled.yaml -o "$DIR/rolled.json" >"$DIR/rolled.txt" &
load=$!
sleep 2
scripts/fleet.sh roll bin/jujubeford r1 r2
submit bin/jujubeford 2
agree 2
bin/jujubeford status -admin "$(admin 3)"
bin/other/jujubeford status -admin "$(admin 1)" >/dev/null
scripts/fleet.sh roll bin/jujubeford r3 r4
submit bin/other/jujubeford 3
agree 3
scripts/fleet.sh roll bin/other/jujubeford r1 r3
submit bin/jujubeford 4
agree 4
kill -0 "$load" || { echo "the load ended before the last roll" >&2; exit 1; }
wait "$load"
load=
cat "$DIR/rolled.txt"
for measure in untrue_refusals doubled cut; do
	grep -E "\"$measure\": 0,?\$" "$DIR/rolled.json" >/dev/null ||
		{ echo "$measure is not 0" >&2; exit 1; }
done
echo "two builds: no untrue refusal, nothing run twice, no answer cut"
