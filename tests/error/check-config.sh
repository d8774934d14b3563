#!/usr/bin/env bash
# Guards against a daemon that opens a file or port before it has checked its
# settings, and against an exit status other than 0 or 2 for that check.
# Usage: check-config.sh DOGWOODDRUMD
set -uo pipefail
daemon=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
write() {
  printf '[common]\nrole = entry\nname = e\nregion = r\nzone = z\nkey_file = %s\nlog_file = %s\n%s\n[entry]\ncontrol_addresses = 127.0.0.1:7101\n' \
    "$folder/no-key" "$folder/log" "$1" >"$folder/e.ini"
}
expect() {
  [ "$1" -eq "$2" ] || { echo "$3: status $1, expected $2"; cat "$folder/out"; exit 1; }
}
write ""
"$daemon" --settings "$folder/e.ini" --check-config >"$folder/out" 2>&1
expect $? 0 "valid settings with --check-config"
write "http_prt = 1"
for option in --check-config ""; do
  "$daemon" --settings "$folder/e.ini" $option >"$folder/out" 2>&1
  expect $? 2 "unknown key ${option:-without an option}"
  grep -q "e.ini: section \[common\], key \"http_prt\", value \"1\": allowed is" "$folder/out"
  expect $? 0 "message"
  [ -n "$option" ] || grep -q "event=107 name=start_refused.*http_prt" "$folder/out"
  expect $? 0 "numbered event of a refused start"
done
[ ! -e "$folder/log" ] || { echo "the log file was opened"; exit 1; }
