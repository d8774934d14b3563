#!/usr/bin/env bash
# A gang of 12 tasks runs on one of eleven targets; nothing else is to do. With
# the disruption, that target crashes once and comes back 4.5 s later.
set -uo pipefail
trouble=${TROUBLE:-1} # 0: the same without the disruption
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/lib.sh
. "$here/../lib.sh"
targets=11
members=12
job=5c0e7a21d94b36f8

start_system $targets
configure
for ((number = 1; number <= targets; number++)); do
  start_minion "minion-$number" $number "$(printf 'i-0000%02d00' $number)" \
    --beat-ms 1500 --task-ms 8000
done
sleep 3
cat >"$work/job.json" <<JSON
{"spec":"inspect","steps":[{"count":$members,"cpu":5000,"mem_mb":1024,"estimate_ms":8000,"gang":true}]}
JSON
submit $job "$work/job.json"
for ((i = 0; i < 100; i++)); do
  if [ "$(grep -cE "starts $job.* run 1$" "$record")" -eq $members ]; then break; fi
  sleep 0.1
done
note "starts of run 1: $(grep -cE "starts $job.* run 1$" "$record"), on" \
  "$(grep -oE "i-[0-9]+ starts $job" "$record" | sort -u | wc -l) targets"
sleep 2
if [ "$trouble" != 0 ]; then
  id=$(grep -oE "i-[0-9]+ starts $job" "$record" | tail -n 1 | cut -d' ' -f1)
  number=$((10#${id:6:2}))
  note "crash of $id"
  kill -KILL "${pids[minion-$number]}"
  sleep 4.5
  start_minion "minion-$number" $number "$(printf 'i-0000%02d01' $number)" \
    --beat-ms 1500 --task-ms 8000
fi
# The gang has to run again for 8 s. All targets are up and idle.
for ((i = 0; i < 40; i++)); do
  answer=$(state $job)
  case $answer in *complete*) break ;; esac
  sleep 1
done
again=$(grep -cE "starts $job.* run [2-9]" "$record")
note "GET /batch/$job -> $answer; later starts: $again"
case $answer in
  *complete*)
    note "held: the job is complete"
    exit 0
    ;;
esac
if [ "$again" -gt 0 ]; then unable "the job was started again and is not complete"; fi
note "BROKEN: the job has nothing running for 40 s, while eleven targets of 64 cores are idle"
exit 1
