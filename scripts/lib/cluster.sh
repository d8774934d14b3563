# Functions that start, poll and stop a cluster of separate processes on
# loopback. Source this file; it needs bash. The caller sets `top` to the
# checkout, calls cluster_open, and cluster_close in its exit trap.
#
#   cluster_open                     makes a folder for settings, keys and logs
#   cluster_start CONTROLS ENTRIES AGENTS
#   cluster_wait_ready SECONDS       waits until every entry is ready
#   cluster_kill NAME                SIGKILL of one process, such as control-1
#   cluster_stop                     stops all processes by their process ids
#   cluster_close                    stops, and removes the folder
#
# After cluster_start: cluster_entries and cluster_targets hold ip:port lists
# separated by commas, cluster_key_file the operators' key file.

cluster_build=${cluster_build:-$top/build}
cluster_daemon=$cluster_build/dogwooddrum/daemon/dogwooddrumd
cluster_target=$cluster_build/apps/dogwooddrum-standin-target
cluster_tool=$cluster_build/dogwooddrum/cli/dogwooddrum
cluster_accelerators=${cluster_accelerators:-8}
cluster_slots=${cluster_slots:-8}
cluster_extra_common=${cluster_extra_common:-}   # more lines for [common]
cluster_extra_control=${cluster_extra_control:-} # more lines for [control]

cluster_open() {
  cluster_folder=$(mktemp -d "${cluster_parent:-${TMPDIR:-/tmp}}/dogwooddrum-XXXXXX")
  cluster_key_file=$cluster_folder/operator.key
  (
    umask 077
    head -c 32 /dev/urandom | base64 >"$cluster_folder/link.key"
    head -c 32 /dev/urandom | base64 >"$cluster_key_file"
  )
  declare -gA cluster_pids=() cluster_ports=()
}

# Sets cluster_port to a port that no process listens on, below the system's
# range for outgoing connections. Another process can still take that port
# before it is used; the daemon then does not start.
cluster_free_port() {
  local port
  while :; do
    port=$((15000 + RANDOM % 15000))
    if [ -z "${cluster_taken[$port]:-}" ] && ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      cluster_taken[$port]=1
      cluster_port=$port
      return
    fi
  done
}
declare -gA cluster_taken=()

# cluster_spawn NAME COMMAND...: starts a process whose output goes to a log.
cluster_spawn() {
  local name=$1
  shift
  "$@" >"$cluster_folder/$name.out" 2>"$cluster_folder/$name.log" </dev/null &
  cluster_pids[$name]=$!
}

# cluster_settings NAME ROLE ZONE LINK_PORT SECTION_LINES: writes the settings of
# a daemon.
cluster_settings() {
  local name=$1 role=$2 zone=$3 link_port=$4 section=$5
  cat >"$cluster_folder/$name.ini" <<INI
[common]
role = $role
name = $name
region = local
zone = $zone
http_port = ${cluster_ports[$name]}
link_port = $link_port
key_file = $cluster_folder/link.key
operator_key_file = $cluster_key_file
$cluster_extra_common
[$role]
$section
INI
}

cluster_start_daemon() {
  cluster_spawn "$1" "$cluster_daemon" --settings "$cluster_folder/$1.ini"
}

# cluster_http PORT PATH: prints the status of a GET, or 000 without an answer.
cluster_http() {
  local status=000 line
  if exec 3<>"/dev/tcp/127.0.0.1/$1"; then
    printf 'GET %s HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n' "$2" >&3
    if read -r -t 2 line <&3; then
      status=${line#* }
      status=${status%% *}
    fi
    exec 3>&-
  fi 2>/dev/null
  echo "$status"
}

# cluster_until SECONDS COMMAND...: repeats a command until it succeeds.
cluster_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.1
  done
}

cluster_target_port() {
  cluster_port=$(sed -n 's/^listening on \([0-9]*\).*/\1/p' "$cluster_folder/$1.out" 2>/dev/null)
  [ -n "$cluster_port" ]
}

cluster_start() {
  local controls=$1 entries=$2 agents=$3 i peers="" addresses="" zone
  local -a links=()
  for i in $(seq "$controls"); do
    cluster_free_port
    links[i]=$cluster_port
    peers+="${peers:+, }$i=127.0.0.1:$cluster_port"
    addresses+="${addresses:+, }127.0.0.1:$cluster_port"
  done
  for i in $(seq "$controls"); do
    cluster_free_port
    cluster_ports[control-$i]=$cluster_port
    mkdir -p "$cluster_folder/data-$i"
    cluster_settings "control-$i" control "zone-$i" "${links[i]}" "member_id = $i
peers = $peers
data_folder = $cluster_folder/data-$i
$cluster_extra_control"
    "$cluster_daemon" --settings "$cluster_folder/control-$i.ini" --found || return 1
    cluster_start_daemon "control-$i"
  done
  cluster_targets=
  for i in $(seq "$agents"); do
    cluster_spawn "target-$i" "$cluster_target" --listen 127.0.0.1:0
    cluster_until 10 cluster_target_port "target-$i" || return 1
    cluster_ports[target-$i]=$cluster_port
    cluster_targets+="${cluster_targets:+,}127.0.0.1:$cluster_port"
    cluster_free_port
    cluster_ports[agent-$i]=$cluster_port
    zone=zone-$(((i - 1) % controls + 1))
    cluster_settings "agent-$i" agent "$zone" 0 "worker = worker-$i
rack = rack-$zone
accelerators = $cluster_accelerators
slots = $cluster_slots
target_address = 127.0.0.1:${cluster_ports[target-$i]}
control_addresses = $addresses"
    cluster_start_daemon "agent-$i"
  done
  cluster_entries=
  for i in $(seq "$entries"); do
    cluster_free_port
    cluster_ports[entry-$i]=$cluster_port
    cluster_entries+="${cluster_entries:+,}127.0.0.1:$cluster_port"
    cluster_settings "entry-$i" entry "zone-$(((i - 1) % controls + 1))" 0 "control_addresses = $addresses"
    cluster_start_daemon "entry-$i"
  done
  export DOGWOODDRUM_ENTRIES=$cluster_entries
  export DOGWOODDRUM_OPERATOR_KEY_FILE=$cluster_key_file
}

# cluster_is_ready NAME: succeeds if the daemon answers 200 to /readyz.
cluster_is_ready() {
  [ "$(cluster_http "${cluster_ports[$1]}" /readyz)" = 200 ]
}

cluster_wait_ready() {
  local name
  for name in "${!cluster_pids[@]}"; do
    case $name in entry-* | agent-*) ;; *) continue ;; esac
    if ! cluster_until "$1" cluster_is_ready "$name"; then
      echo "$name is not ready after $1 s; last log lines:" >&2
      cluster_show_logs
      return 1
    fi
  done
}

cluster_show_logs() {
  local file
  for file in "$cluster_folder"/*.log; do
    [ -s "$file" ] && { echo "== ${file##*/}"; tail -n 5 "$file"; } >&2
  done
  return 0
}

# Prints the name of the control member that reports itself as the leader, if
# any does.
cluster_leader() {
  local name body
  for name in "${!cluster_pids[@]}"; do
    case $name in control-*) ;; *) continue ;; esac
    body=$(
      exec 3<>"/dev/tcp/127.0.0.1/${cluster_ports[$name]}" || exit 0
      printf 'GET /metrics HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n' >&3
      timeout 2 cat <&3
    ) 2>/dev/null
    if grep -q '^dogwooddrum_is_leader 1' <<<"$body"; then
      echo "$name"
      return
    fi
  done
}

cluster_kill() {
  kill -KILL "${cluster_pids[$1]}" 2>/dev/null
  wait "${cluster_pids[$1]}" 2>/dev/null
  unset "cluster_pids[$1]"
}

cluster_stop() {
  local pid pids=("${cluster_pids[@]}")
  [ ${#pids[@]} -gt 0 ] || return 0
  kill -TERM "${pids[@]}" 2>/dev/null
  local end=$((SECONDS + ${cluster_stop_seconds:-15}))
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $end ]; do
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  cluster_pids=()
  return 0
}

cluster_close() {
  cluster_stop
  [ -n "${cluster_folder:-}" ] && rm -rf "$cluster_folder"
  return 0
}
