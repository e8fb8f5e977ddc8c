#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-case ] && [ -x target/parsleydeal-entry ] || exit 2
timeout --signal=TERM 110 target/review-case stale "review/2/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
