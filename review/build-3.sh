#!/usr/bin/env bash
# Builds the programs of the scripts in cases 11 to 15: clients, replicas and stores.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
for folder in review/1[1-5]/; do
	[ -e "$folder/main.go" ] || continue
	name=$(basename "$folder")
	go build -buildvcs=false -tags review -o "target/review3/$name" "./review/$name"
done
