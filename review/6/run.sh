#!/usr/bin/env bash
# Exits 1 if REFUSED was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the failures.
# Writes record.txt in this folder: what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jujubeford ] && [ -x target/review/6 ] || { echo "build first: the deploy file's build line, review/build-2.sh"; exit 2; }
exec target/review/6
