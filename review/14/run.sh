#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in review-3/deadly review-3/worker release/platform-control release/platform-gateway; do
    [ -x "target/$program" ] || exit 2
done
target/review-3/deadly review/14/record.txt
code=$?
# A panic, or an end by a signal, means that the case could not run.
[ "$code" -le 1 ] || code=2
exit "$code"
