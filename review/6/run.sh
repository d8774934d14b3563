#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With TROUBLE=0 it does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$here")
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
pid=
finish() {
  [ -z "$pid" ] || { kill "$pid" && wait "$pid"; } 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review-2/"case-$number" "$folder" "$here/record.txt" &
pid=$!
wait "$pid"
status=$?
pid=
[ -z "${KEEP_LOGS:-}" ] || cp -r "$folder" "$KEEP_LOGS"
[ "$status" -le 2 ] || status=2
exit "$status"
