#!/usr/bin/env bash
# Exits 1 if BUDGET was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the kills.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/jujubeford ] && [ -x target/review/crashes ] || { echo "build first: the deploy file's build line, review/build-2.sh"; exit 2; }
exec target/review/crashes
