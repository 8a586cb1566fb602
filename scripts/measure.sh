#!/usr/bin/env bash
# The measures of the brief: each scenario with the baseline and the current
# policy, several rounds, as a table, JSON and plots in out/measure. One round of
# all scenarios takes about four minutes a policy.
#
# From the environment: ROUNDS, SCENARIOS (names in scenarios/), POLICIES, OUT,
# and all settings of scripts/fleet.sh, such as ROUTERS and DOMAINS.
set -euo pipefail
cd "$(dirname "$0")/.."

ROUNDS=${ROUNDS:-2}
SCENARIOS=${SCENARIOS:-steady crest flood uneven stragglers slowed killed partition short-beside-long once}
POLICIES=${POLICIES:-baseline owner}
OUT=${OUT:-out/measure}
export DIR=${DIR:-out/fleet}
# GAP_BOUND is in tokens per unit of share; 0 takes the scenario's.
GAP_BOUND=${GAP_BOUND:-0}
# tend outlives the longest scenario.
TEND_SECONDS=60

mkdir -p "$OUT"
tender=
finish() {
	[ -z "$tender" ] || kill "$tender" 2>/dev/null || true
	scripts/fleet.sh down
}
trap finish EXIT

# run SCENARIO POLICY ROUND; each round has its own seed, the same for both
# policies.
run() {
	local record=$OUT/$1-$2-$3.json seed=$((1000 + $3))
	if grep -q 'action: kill' "scenarios/$1.yaml"; then
		scripts/fleet.sh tend "$TEND_SECONDS" &
		tender=$!
	fi
	echo "== $1, $2, round $3"
	bin/loadgen run -fleet "$DIR/fleet.yaml" -scenario "scenarios/$1.yaml" \
		-seed "$seed" -gap-bound "$GAP_BOUND" -o "$record" >"$OUT/$1-$2-$3.txt"
	records+=("$record")
	if [ -n "$tender" ]; then
		kill "$tender" 2>/dev/null || true
		wait "$tender" 2>/dev/null || true
		tender=
	fi
}

# run_all POLICY RELAYS SCENARIO... runs the rounds of some scenarios on one
# fleet.
run_all() {
	local policy=$1 relays=$2 scenario round
	shift 2
	[ $# -gt 0 ] || return 0
	POLICY=$policy RELAYS=$relays scripts/fleet.sh up
	for scenario in "$@"; do
		for ((round = 1; round <= ROUNDS; round++)); do
			run "$scenario" "$policy" "$round"
		done
	done
	scripts/fleet.sh down
}

# Only scenarios with a partition need relays between the routers.
plain=() cut=()
for scenario in $SCENARIOS; do
	if grep -q 'action: partition' "scenarios/$scenario.yaml"; then
		cut+=("$scenario")
	else
		plain+=("$scenario")
	fi
done

records=()
for policy in $POLICIES; do
	run_all "$policy" "" ${plain[@]+"${plain[@]}"}
	run_all "$policy" 1 ${cut[@]+"${cut[@]}"}
done

for record in "${records[@]}"; do
	case "$record" in
	*-1.json) bin/loadgen plot "$record" >/dev/null ;;
	esac
done
bin/loadgen compare -o "$OUT/comparison.json" "${records[@]}" | tee "$OUT/comparison.txt"
echo
echo "Records, plots and the comparison are in $OUT."
