#!/usr/bin/env bash
# Builds the programs that the scripts of review/ start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for d in review/[0-9]*/; do
	n=$(basename "$d")
	[ -e "$d/main.go" ] || continue
	go build -buildvcs=false -tags review -o "target/review/case-$n" "./review/$n"
done
