# Functions that run a small system of the daemons and stand-ins on loopback addresses, as separate
# processes. Sourced by scripts/demo and scripts/faults from the top folder of the repository. The
# script that sources it sets started_at, limit_s and keeps, and traps on_exit.

readonly ctl=$build/apps/ctl/tanagerpaddlectl
readonly daemon=$build/apps/daemon/tanagerpaddled
readonly platform_standin=$build/apps/platform_standin/tanagerpaddle-platform-standin
readonly target_standin=$build/apps/target_standin/tanagerpaddle-target-standin
readonly check_record=$build/apps/target_standin/tanagerpaddle-check-record
# The service of the example reserves 16 processors and 32 GiB, so half of a worker is left.
readonly worker_millicores=48000 worker_mib=163840
readonly reserved_millicores=16000 reserved_mib=32768
readonly agent_count=${AGENTS:-4}
readonly load_rate=50
# Shorter times than the defaults, so that takeover and resumption take seconds. A script that
# sources this file may set others before.
: "${scheduler_times:=horizon_s: 6, horizon_renewal_s: 2, worker_lease_s: 4}"
: "${membership_times:=digest_interval_ms: 500, entry_expiry_ms: 2000}"
: "${sync_interval_ms:=500}"

declare -A pids=()
entry_callers=() entry_operators=() entry_control=()
folder=''
is_done=false
program=$(basename "$0")

say() { printf '%5.1f s  %s\n' "$(elapsed_s)" "$*"; }
elapsed_s() { awk -v a="$started_at" -v b="$EPOCHREALTIME" 'BEGIN { print b - a }'; }

fail() {
  echo "$program: $*" >&2
  exit 1
}

# Ends what is still running: SIGTERM first, SIGKILL for what remains after 3 s.
end_processes() {
  local name
  for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for _ in {1..30}; do
    any_running || return 0
    sleep 0.1
  done
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
}

any_running() {
  local name
  for name in "${!pids[@]}"; do
    if kill -0 "${pids[$name]}" 2>/dev/null; then return 0; fi
  done
  return 1
}

show_errors() {
  echo "$program: logs are in $folder; the last warnings and errors:" >&2
  grep -hE '"level":"(warning|error)"' "$folder"/*.log 2>/dev/null | tail -n 20 >&2 || true
}

on_exit() {
  local status=$?
  trap - EXIT
  if $keeps && $is_done; then exit "$status"; fi
  # Before the processes end, as those that end last complain about those that ended first.
  if [ "$status" -ne 0 ]; then show_errors; fi
  end_processes
  if [ "$status" -eq 0 ] && [ -n "$folder" ]; then rm -rf "$folder"; fi
  exit "$status"
}

# start_process NAME PROGRAM ARGUMENT...
start_process() {
  local name=$1
  shift
  "$@" >"$folder/$name.out" 2>"$folder/$name.log" </dev/null &
  pids[$name]=$!
}

kill_process() {
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

time_is_up() { awk -v t="$(elapsed_s)" -v l="$limit_s" 'BEGIN { exit !(t > l) }'; }

# wait_until TEXT COMMAND...: repeats the command until it succeeds.
wait_until() {
  local text=$1
  shift
  until "$@" >/dev/null 2>&1; do
    if time_is_up; then fail "gave up after $limit_s s waiting until $text"; fi
    check_alive
    sleep 0.2
  done
}

check_alive() {
  local name
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || fail "$name ended: $(tail -n 3 "$folder/$name.log")"
  done
}

# port_in FILE MEMBER: a member of the JSON line in the file.
port_in() { sed -nE 's/.*"'"$2"'":([0-9]+).*/\1/p' "$1" | head -n 1; }

start_platform() {
  start_process platform "$platform_standin" --port 0
  wait_until 'the platform listens' grep -q listening "$folder/platform.out"
  platform_port=$(port_in "$folder/platform.out" port)
}

# A listening address with a port that the system chooses.
listen_section() { printf '  %s: {address: 127.0.0.1, port: 0}\n' "$1"; }

common_settings() {
  cat <<END
role: $1
id: $2
region: texas
failure_domain: $3
rack: $4
security: {key_file: $folder/control.key}
shutdown: {grace_ms: 2000, readiness_delay_ms: 0}
END
}

entry_settings() {
  common_settings entry "entry-$1" rosenberg rack-entries
  cat <<END
platform: {table_url: "http://127.0.0.1:$platform_port", object_url: "http://127.0.0.1:$platform_port"}
scheduler: {partition_count: 4, $scheduler_times, sync_interval_ms: $sync_interval_ms}
membership: {$membership_times, entries_refresh_s: 2}
entry:
$(listen_section callers)
$(listen_section operators)
$(listen_section control)
END
}

start_entry() {
  local name=entry-$1 ports=$folder/entry-$1.ports
  entry_settings "$1" >"$folder/$name.yaml"
  start_process "$name" "$daemon" --config "$folder/$name.yaml" --port-file "$ports"
  wait_until "$name listens" test -s "$ports"
  entry_callers+=("127.0.0.1:$(port_in "$ports" callers)")
  entry_operators+=("127.0.0.1:$(port_in "$ports" operators)")
  entry_control+=("127.0.0.1:$(port_in "$ports" control)")
}

domain_of() { if [ "$1" -le 2 ]; then echo rosenberg; else echo richmond; fi; }

start_target() {
  local name=target-$1
  start_process "$name" "$target_standin" --worker "worker-$1" --domain "$(domain_of "$1")" \
    --millicores "$worker_millicores" --mebibytes "$worker_mib" \
    --reserved-millicores "$reserved_millicores" --reserved-mebibytes "$reserved_mib" \
    --usage-lag-ms 500 --platform "127.0.0.1:$platform_port" --record "$folder/$name.record" --seed "$1"
  wait_until "$name listens" grep -q listening "$folder/$name.out"
}

agent_settings() {
  local target=$folder/target-$1.out
  common_settings agent "worker-$1" "$(domain_of "$1")" "rack-$1"
  cat <<END
platform: {object_url: "http://127.0.0.1:$platform_port"}
scheduler: {partition_count: 4, sync_interval_ms: $sync_interval_ms}
agent:
$(listen_section data)
$(listen_section control)
  target_url: "http://127.0.0.1:$(port_in "$target" port)"
  runtime_url: "http://127.0.0.1:$(port_in "$target" runtime_port)"
  service: cut-orders
  slots: 8
  capacity: {processors_millicores: $worker_millicores, memory_mib: $worker_mib, accelerators: 0}
  entries: ["${entry_control[0]}", "${entry_control[1]}"]
END
}

start_agent() {
  local name=agent-$1
  start_target "$1"
  agent_settings "$1" >"$folder/$name.yaml"
  start_process "$name" "$daemon" --config "$folder/$name.yaml" --port-file "$folder/$name.ports"
}

start_system() {
  local i
  folder=$(mktemp -d "${TMPDIR:-/tmp}/tanagerpaddle-$program.XXXXXX")
  (umask 077 && od -An -tx1 -N16 /dev/urandom | tr -d ' ' >"$folder/control.key")
  start_platform
  for i in 1 2; do start_entry "$i"; done
  for ((i = 1; i <= agent_count; ++i)); do start_agent "$i"; done
  for ((i = 1; i <= agent_count; ++i)); do
    wait_until "agent-$i listens" test -s "$folder/agent-$i.ports"
  done
  say "started 1 platform, 2 entries and $agent_count agents with their targets"
}

run_ctl() {
  "$ctl" --entry "${entry_operators[0]}" --entry "${entry_operators[1]}" \
    --key-file "$folder/control.key" --operator demo "$@"
}

is_ready() {
  "$ctl" --entry "$1" --timeout-ms 1000 --output json status | grep -qE '"is_ready": true'
}

# Lines of the table but its header.
target_count() { "$ctl" --entry "$1" --timeout-ms 1000 targets | tail -n +2 | wc -l; }
knows_all_targets() { [ "$(target_count "$1")" -eq "$agent_count" ]; }

# The example with tasks of 0.4 s in place of 20 to 45 minutes, due tomorrow.
print_configuration() {
  local due
  due=$(date -u -d '+1 day' +%Y-%m-%dT%H:%M:%SZ)
  "$build/examples/example_brazos" |
    sed -E -e 's/(command: .*--(farm [a-z]+|irrigation))/\1 run_ms=400/' \
      -e "s/(complete_by: ).*/\1\"$due\"/"
}

declare_configuration() {
  local operators
  print_configuration >"$folder/brazos.yaml"
  run_ctl apply "$folder/brazos.yaml" | tail -n 1
  # An entry is ready once it knows a configuration.
  for operators in "${entry_operators[@]}"; do
    wait_until "the entry at $operators is ready" is_ready "$operators"
    wait_until "the entry at $operators knows all targets" knows_all_targets "$operators"
  done
  say 'the configuration is accepted and all targets are known'
}

# start_load NAME SECONDS: checked requests over both entries, in the background.
start_load() {
  "$ctl" load --callers "${entry_callers[0]}" --callers "${entry_callers[1]}" \
    --service cut-orders --method quote:3 --method order:1 --rate "$load_rate" --seconds "$2" \
    --timeout-ms 2000 --connections 32 --check-standin --results "$folder/$1.json" \
    >"$folder/$1.out" 2>"$folder/$1.log" &
  pids[$1]=$!
}

wait_for_load() {
  local status=0
  wait "${pids[$1]}" || status=$?
  unset "pids[$1]"
  cat "$folder/$1.out"
  [ "$status" -eq 0 ] || fail "$1 ended with $status: $(tail -n 3 "$folder/$1.log")"
}

sum_of() {
  sed -nE 's/^  "'"$1"'": ([0-9]+),?$/\1/p' "$folder"/load-*.json | awk '{ s += $1 } END { print s + 0 }'
}

