#!/usr/bin/env bash
# The slopes of docs/CAPACITY.md: benchmarks of the reducer's parts at several
# sizes, then fleets of real processes at several sizes, idle, loaded and
# backlogged. Tables and JSON go to out/capacity. It takes about six minutes.
#
# From the environment: BENCHTIME, ROUNDS (as ROUTERS:ORGANISATIONS pairs), STATES,
# TARGET (empty leaves the round at the target's rate out),
# PARTS (bench, fleet), OUT, DIR and PORT_BASE.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false

OUT=${OUT:-out/capacity}
PARTS=${PARTS:-bench fleet}
ROUNDS=${ROUNDS:-8:16 16:16 32:16 64:16 8:3400 16:3400 32:3400}
TARGET=${TARGET-1}
STATES=${STATES:-idle rollout loaded backlogged}
BENCHTIME=${BENCHTIME:-300x}
# BENCHMARKS are the packages with benchmarks of capacity, besides config.
BENCHMARKS="./internal/reducer ./internal/owner ./internal/counters ./internal/claims ./internal/peer"
export DIR=${DIR:-out/cap} PORT_BASE=${PORT_BASE:-30000}
# The target has 600 replicas before 420 routers and 7 failure domains; a fleet
# here has 3 engines for 2 routers.
export SLOTS=${SLOTS:-8} TOKEN_TIME=${TOKEN_TIME:-25ms} PLAIN=${PLAIN:-4}
IDLE_SECONDS=${IDLE_SECONDS:-5}

HOST=127.0.0.1
mkdir -p "$OUT"

benchmarks() {
	# shellcheck disable=SC2086
	{
		go test -run "^$" -bench . -benchtime "$BENCHTIME" $BENCHMARKS
		go test -run "^$" -bench Configuration -benchtime 10x ./config
	} | tee "$OUT/benchmarks.txt"
}

# write_scenario FILE ORGANISATIONS LOAD MIN MAX DRAIN writes a load of model
# requests. With 12 slots a router and 0.5 s a request, a load of 0.267 is the
# target's 6.4 requests a second and router; with 2 s a request, 1.07 is.
write_scenario() {
	cat >"$1" <<-END
		name: $(basename "$1" .yaml)
		seed: 1
		organisations: $2
		large: 3
		kinds:
		  - {name: ask, service: assistant, load: $3, min_tokens: $4, max_tokens: $5}
		phases:
		  - {name: load, duration: 8s}
		drain: $6
	END
}

# sample FILE keeps the metrics of all routers and the platform's counts.
sample() {
	rm -f "$OUT"/metrics.*
	curl -s --max-time 5 --parallel --parallel-max 16 -o "$OUT/metrics.#1" \
		"http://$HOST:[$((PORT_BASE + 301))-$((PORT_BASE + 300 + ROUTERS))]/metrics" 2>/dev/null
	{
		echo "time_seconds $(date +%s.%N)"
		curl -s --max-time 5 "$HOST:$((PORT_BASE + 600))/stats" |
			sed -n 's/^ *"\(reads\|writes\|limited\|waiting\)": \([0-9]*\).*/store_\1 \2/p'
		cat "$OUT"/metrics.* |
			grep -E '^(jujubeford_peer|process_cpu|process_resident)' |
			sed 's/{[a-z]*="\([a-z_]*\)"}/_\1/'
	} >"$1"
}

# difference BEFORE AFTER STATE RECORD prints a row and appends a JSON line.
difference() {
	awk -v routers="$ROUTERS" -v organisations="$ORGANISATIONS" -v state="$3" -v json="$4" '
		FNR == NR { before[$1] += $2; next }
		{ after[$1] += $2 }
		/^process_resident/ && $2 > most { most = $2 }
		END {
			seconds = after["time_seconds"] - before["time_seconds"]
			per = seconds * routers
			sent = (after["jujubeford_peer_bytes_total_sent"] - before["jujubeford_peer_bytes_total_sent"]) / per
			received = (after["jujubeford_peer_bytes_total_received"] - before["jujubeford_peer_bytes_total_received"]) / per
			cpu = (after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]) / per * 100
			memory = after["process_resident_memory_bytes"] / routers / 1e6
			reads = (after["store_reads"] - before["store_reads"]) / seconds
			writes = (after["store_writes"] - before["store_writes"]) / seconds
			printf "%7d %13d %-10s %9.0f %9.0f %7.2f %8.1f %8.1f %8.1f %8.1f %8d\n", routers, organisations,
				state, sent, received, cpu, memory, most / 1e6, reads, writes, after["store_waiting"]
			printf "{\"routers\":%d,\"organisations\":%d,\"state\":\"%s\",\"seconds\":%.1f," \
				"\"sent_bytes_per_second\":%.0f,\"received_bytes_per_second\":%.0f,\"cpu_percent\":%.2f," \
				"\"memory_mb\":%.1f,\"memory_most_mb\":%.1f,\"store_reads_per_second\":%.1f," \
				"\"store_writes_per_second\":%.1f,\"store_waiting\":%d,\"kinds\":{", routers, organisations,
				state, seconds, sent, received, cpu, memory, most / 1e6, reads, writes, after["store_waiting"] >>json
			prefix = "jujubeford_peer_kind_bytes_total_"
			separator = ""
			for (name in after) {
				if (index(name, prefix) != 1) continue
				kind = substr(name, length(prefix) + 1)
				bytes = (after[name] - before[name]) / per
				messages = (after["jujubeford_peer_messages_total_" kind] - before["jujubeford_peer_messages_total_" kind]) / per
				if (messages == 0) continue
				printf "%s\"%s\":{\"bytes_per_second\":%.1f,\"messages_per_second\":%.2f}", separator, kind, bytes, messages >>json
				separator = ","
			}
			printf "}}\n" >>json
		}' "$1" "$2"
}

heading() {
	printf '%7s %13s %-10s %9s %9s %7s %8s %8s %8s %8s %8s\n' routers organisations state \
		'sent B/s' 'recv B/s' 'CPU %' 'MB mean' 'MB most' 'reads/s' 'writes/s' watches
}

# window STATE COMMAND... measures the fleet while a command runs.
window() {
	local state=$1
	shift
	sample "$OUT/before"
	"$@" >"$OUT/$state-$ROUTERS-$ORGANISATIONS.txt"
	sample "$OUT/after"
	difference "$OUT/before" "$OUT/after" "$state" "$OUT/fleets.jsonl"
}

load() {
	bin/loadgen run -fleet "$DIR/fleet.yaml" -scenario "$OUT/$1.yaml" -o "$OUT/$1-$ROUTERS-$ORGANISATIONS.json" 2>/dev/null
}

# roll_out changes the share of one organisation, waits until that is in force at
# all routers as one of them knows it, and takes from their logs when it was.
roll_out() {
	local start
	bin/loadgen config -organisations "$ORGANISATIONS" -large 4 -slots "$SLOTS" >"$OUT/changed.yaml"
	start=$(date +%H:%M:%S.%N)
	bin/jujubeford config submit -store "$HOST:$((PORT_BASE + 500))" \
		-admin "$HOST:$((PORT_BASE + 301))" -wait 12s "$OUT/changed.yaml" 2>&1 || true
	awk -v start="$start" '
		function seconds(time, part) { split(time, part, ":"); return part[1] * 3600 + part[2] * 60 + part[3] }
		/generation in force/ && /generation=2$/ {
			after = seconds($2) - seconds(start)
			if (count++ == 0 || after < first) first = after
			if (after > last) last = after
		}
		END { printf "in force at %d routers, the first %.2f s and the last %.2f s after the start\n", count, first, last }
	' "$DIR"/r[0-9]*.log
}

# round ROUTERS ORGANISATIONS measures one fleet.
round() {
	local state
	export ROUTERS=$1 ORGANISATIONS=$2
	export ENGINES=$((ROUTERS * 3 / 2)) DOMAINS=$((ROUTERS < 16 ? 4 : 7))
	write_scenario "$OUT/loaded.yaml" "$ORGANISATIONS" 0.267 10 30 3s
	write_scenario "$OUT/backlogged.yaml" "$ORGANISATIONS" 1.07 60 100 12s
	READY_SECONDS=60 scripts/fleet.sh up >/dev/null
	sleep 1
	for state in $STATES; do
		case "$state" in
		idle) window idle sleep "$IDLE_SECONDS" ;;
		rollout) window rollout roll_out ;;
		*) window "$state" load "$state" ;;
		esac
	done
	scripts/fleet.sh down
}

# target_round measures 8 routers at the target's rate for each of them: 6.4
# requests a second of 274 tokens each, and then 40 bookings a second that run at
# most once.
target_round() {
	export ROUTERS=8 ORGANISATIONS=16 ENGINES=12 DOMAINS=4
	write_scenario "$OUT/tokens.yaml" 16 0.61 250 298 10s
	cat >"$OUT/bookings.yaml" <<-END
		name: bookings
		seed: 1
		kinds:
		  - {name: booking, service: booking, rate: 40, once: true}
		phases:
		  - {name: load, duration: 8s}
		drain: 3s
	END
	SLOTS=48 scripts/fleet.sh up >/dev/null
	sleep 1
	window tokens load tokens
	window bookings load bookings
	scripts/fleet.sh down
}

fleets() {
	local point
	trap 'scripts/fleet.sh down' EXIT
	rm -f "$OUT/fleets.jsonl"
	heading
	for point in $ROUNDS; do
		round "${point%:*}" "${point#*:}"
	done
	[ -z "$TARGET" ] || target_round
	rm -f "$OUT/before" "$OUT/after" "$OUT"/metrics.*
	{
		echo '['
		sed '$!s/$/,/' "$OUT/fleets.jsonl"
		echo ']'
	} >"$OUT/fleets.json"
	rm -f "$OUT/fleets.jsonl"
}

for part in $PARTS; do
	case "$part" in
	bench) benchmarks ;;
	fleet) fleets | tee "$OUT/fleets.txt" ;;
	*)
		echo "capacity: no part $part" >&2
		exit 2
		;;
	esac
done
echo "Tables and JSON are in $OUT."
