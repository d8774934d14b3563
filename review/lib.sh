# Functions of the scripts: a small deployment on loopback addresses, with the
# commands and the settings templates of the deploy file. A script sets `here`
# (its folder) and then sources this file.
# shellcheck shell=bash disable=SC2034,SC2154
top=$(cd "$here/../.." && pwd)
out=$top/review/out
record=$here/record.txt
: >"$record"
work=$(mktemp -d)
base=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
host=jobs.example
key=key0yard0review00001
declare -A pids=()
case_started=$SECONDS

note() { echo "$(date +%s%3N) $*" | tee -a "$record"; }

# The case could not run.
unable() {
  note "could not run: $*"
  exit 2
}

cleanup() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$work" "$KEEP_LOGS"; fi
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# render TEMPLATE NAME IP DATA: fills in a template as the platform does.
render() {
  sed -e "s|{{node_name}}|$2|; s|{{region}}|region-1|; s|{{zone}}|zone-1|" \
    -e "s|{{ip}}|$3|; s|{{data_dir}}|$4|; s|{{bootstrap}}|${bootstrap:-true}|" \
    -e "s|{{internal_port_range.0}}|7000|; s|{{internal_port_range.1}}|7015|" \
    -e "s|{{seeds}}|$base.1:8526,$base.2:8526,$base.3:8526|" \
    -e "s|{{fault_tolerance.machines}}|1|; s|{{bounds.hold_max_ms}}|6000|" \
    -e "s|{{bounds.stop_ms}}|900|; s|{{bounds.restore_ms}}|600|" \
    -e "s|{{bind_addrs.control_plane}}|$3:8526|" \
    -e "s|{{bind_addrs.frontend}}|$3:8521|" \
    -e "s|{{bind_addrs.readiness}}|$3:8523|" "$top/$1" >"$work/$2.ini"
  if grep -q '{{' "$work/$2.ini"; then unable "placeholder left in $2.ini"; fi
}

# start_node NAME: runs a role with the command of the deploy file.
start_node() {
  (cd "$top" && exec target/dogwooddrum/daemon/dogwooddrumd \
    --settings "$work/$1.ini") >>"$work/$1.log" 2>&1 &
  pids[$1]=$!
}

# start_minion NAME NUMBER ID OPTIONS...: the target beside agent NUMBER.
start_minion() {
  local name=$1 number=$2 id=$3
  shift 3
  "$out/review-minion" --listen "$base.$((30 + number)):8080" \
    --agent "$base.$((20 + number)):8526" --id "$id" --record "$record" "$@" \
    >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

call() { "$out/review-call" "$@"; }

# start_system AGENTS: three control members, one entry, and agents.
start_system() {
  local i
  [ -x "$out/review-minion" ] && [ -x "$out/review-call" ] &&
    [ -x "$top/target/dogwooddrum/daemon/dogwooddrumd" ] ||
    unable "a program is not built"
  for i in 1 2 3; do
    mkdir "$work/data-$i"
    render deploy/control.ini "core-$i" "$base.$i" "$work/data-$i"
    start_node "core-$i"
  done
  render deploy/entry.ini edge-1 "$base.11" ""
  start_node edge-1
  for ((i = 1; i <= $1; i++)); do
    render deploy/agent.ini "side-$i" "$base.$((20 + i))" ""
    start_node "side-$i"
  done
}

# configure: sends the first configuration until it is accepted, and waits until
# the entry takes calls.
configure() {
  local i
  cat >"$work/config.json" <<JSON
{"version":7,"routes":[{"name":"r-batch","host":"$host","path_prefix":"/batch/",
"kind":"non_idempotent","timeout_ms":3000,"target_runtime_ms":3000,"priority":2,
"service":"svc","max_attempts":3,"slack_factor":3.0,"public":false}],
"services":[{"name":"svc","health_path":"/health","max_conns":64,
"protocol":"h1","tls":false,"admission_check":false,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"yard","api_keys":["$key"],"priority":1,
"guaranteed":{"gpu":0}}]}
JSON
  for ((i = 0; i < 150; i++)); do
    case $(call PUT "$base.$((i % 3 + 1)):8526" /-/config "" "" \
      "$work/config.json") in
      200*) break ;;
    esac
    sleep 0.1
  done
  for ((; i < 300; i++)); do
    case $(call GET "$base.11:8523" /-/ready) in
      200*)
        note "system is ready"
        return
        ;;
    esac
    sleep 0.1
  done
  unable "the system is not ready"
}

# submit ID BODY_FILE: hands a job in, again after no clear answer.
submit() {
  local answer i
  for ((i = 0; i < 20; i++)); do
    answer=$(call POST "$base.11:8521" "/batch/$1" "$host" "$key" "$2")
    note "POST /batch/$1 -> $answer"
    case $answer in 200*) return ;; esac
    sleep 0.2
  done
  unable "job $1 was not accepted"
}

# state ID: prints the answer to a GET of the job.
state() { call GET "$base.11:8521" "/batch/$1" "$host" "$key"; }

# wait_record PATTERN SECONDS: waits until the record holds the pattern.
wait_record() {
  local i
  for ((i = 0; i < $2 * 10; i++)); do
    if grep -qE "$1" "$record"; then return 0; fi
    sleep 0.1
  done
  return 1
}
