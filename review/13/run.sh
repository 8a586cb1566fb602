#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Writes what was sent, answered and run to record.txt in its folder.
cd "$(dirname "$0")/../.." || exit 2
folder=review/13
[ -x target/jujubeford ] && [ -x target/review3/13 ] || { echo "build the deploy file and review/build-3.sh first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 110 "target/review3/13" "$folder" &
started=$!
# The routers end with the program that started them.
trap 'kill "$started"; wait "$started"; exit 2' INT TERM
wait "$started"
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
