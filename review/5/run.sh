#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
set -u
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/trefoillined ] && [ -x target/review/standin ] || { echo "build first"; exit 2; }
export TROUBLE=${TROUBLE:-1}
timeout -k 2 115 target/review/standin --case stop --record "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
