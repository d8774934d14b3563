#!/usr/bin/env bash
# One task runs on one of two targets. With the disruption, another writer then
# sends a heartbeat, of a service that no configuration names and with fields
# missing, to the agent beside that target.
set -uo pipefail
trouble=${TROUBLE:-1} # 0: the same without the disruption
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/lib.sh
. "$here/../lib.sh"
job=5c0e7a21d94b36f8
task=$job.0.0.0

start_system 2
configure
start_minion minion-1 1 i-00000001 --task-ms 20000 --beat-ms 1500
start_minion minion-2 2 i-00000002 --task-ms 20000 --beat-ms 1500
cat >"$work/job.json" <<JSON
{"spec":"print labels","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":20000}]}
JSON
submit $job "$work/job.json"
wait_record "starts $task run 1$" 15 || unable "the task did not start"
number=$(grep -oE "i-0000000[12] starts $task" "$record" | cut -c10)
sleep 1

if [ "$trouble" != 0 ]; then
  # Missing: zone, version, slots, warmup_left_ms, labels, clock_ms.
  cat >"$work/odd.json" <<JSON
{"service":"svc-of-another-writer","addr":"$base.39:8080","state":"ready",
"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"seq":1,"born":$(date +%s%3N)}
JSON
  note "odd heartbeat to the agent beside i-0000000$number:" \
    "$(tr -d '\n' <"$work/odd.json")"
  note "answer: $(call PUT "$base.$((20 + number)):8526" \
    /-/instances/i-99999999 "" "" "$work/odd.json")"
fi

# A second start while run 1 has not ended breaks the rule.
for ((i = 0; i < 150; i++)); do
  if grep -qE "starts $task run [2-9]" "$record"; then break; fi
  sleep 0.1
done
sleep 1
note "GET -> $(state $job)"
second=$(grep -nE "starts $task run [2-9]" "$record" | head -n 1 | cut -d: -f1)
if [ -z "$second" ]; then
  note "held: the task was started once"
  exit 0
fi
if head -n "$second" "$record" | grep -qE "ends $task run 1 "; then
  note "held: run 1 had ended before the second start"
  exit 0
fi
note "BROKEN: a second run was started while run 1 was at work"
exit 1
