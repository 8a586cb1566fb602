#!/usr/bin/env bash
# The slopes of docs/CAPACITY.md: the reducer's processor time, memory and
# control bytes at several sizes of the fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
mkdir -p out
go test -run '^$' -bench . -benchtime "${BENCHTIME:-500x}" ./internal/reducer | tee out/capacity.txt
