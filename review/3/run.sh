#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 100 target/review/case-3 review/3
Result=$?
[ "$Result" -le 1 ] || Result=2
exit "$Result"
