#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
target/review-3/cases renamed-route review/11
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
