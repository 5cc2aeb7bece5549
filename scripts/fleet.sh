# Functions that start and stop a fleet of local processes; sourced by other scripts.
#
# fleet_begin DIRECTORY BUILD           where files go, which build to run
# fleet_start NAME PROGRAM ARGUMENTS... starts a process and remembers its id
# fleet_signal NAME SIGNAL              sends a signal to one process
# fleet_await ADDRESS PATH              waits until a server answers
# fleet_end                             stops all processes that were started

fleet_begin() {
  fleet_directory=$1
  fleet_build=$2
  fleet_host=127.$(($$ / 250 % 250 + 1)).$(($$ % 250)).1
  declare -gA fleet_pids=()
  mkdir -p "$fleet_directory"
  printf 'token-of-the-local-operator\n' >"$fleet_directory/token"
  printf '[operator local]\ntoken = token-of-the-local-operator\n' >"$fleet_directory/operators.ini"
  export TREFOILCTL_TOKEN_FILE=$fleet_directory/token
}

fleet_start() {
  local name=$1
  shift
  "$@" >"$fleet_directory/$name.out" 2>"$fleet_directory/$name.log" &
  fleet_pids[$name]=$!
}

fleet_signal() { kill "-$2" "${fleet_pids[$1]}"; }

fleet_await() {
  local attempt
  for ((attempt = 0; attempt < 200; attempt++)); do
    curl -s -o /dev/null --max-time 1 "http://$1$2" && return 0
    sleep 0.05
  done
  echo "no answer from $1" >&2
  return 1
}

fleet_end() {
  local name
  for name in "${!fleet_pids[@]}"; do
    kill -KILL "${fleet_pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# fleet_files ENTRIES TARGETS writes inventory.ini and rules.ini.
# Each fleet has a loopback address of its own. Ports: 7000 platform, 7001.. entries,
# 7101.. operations, 7201.. peers, 7301.. targets, 7401.. relay, 7501.. rollout.
fleet_files() {
  local entries=$1 targets=$2 i
  {
    printf '[data-centre xela-1]\nregion = west\n[data-centre xela-2]\nregion = west\n[service stock]\nversion = 1\n'
    for ((i = 1; i <= entries; i++)); do
      printf '[instance entry-%d]\nrole = entry\ndata-centre = xela-%d\n' "$i" $((i % 2 + 1))
      printf 'address = %s\noperations = %s\npeers = %s\n' "$(fleet_entry "$i")" \
        "$(fleet_operations "$i")" "$(fleet_peers "$i")"
      printf 'relay = %s\nrollout = %s\n' "$(fleet_relay "$i")" "$(fleet_rollout "$i")"
    done
    for ((i = 1; i <= targets; i++)); do
      printf '[instance stock-%d]\ndata-centre = xela-%d\nservice = stock\n' "$i" $((i % 2 + 1))
      printf 'address = %s\nslots = 6\nconnections = 200\n' "$(fleet_target "$i")"
    done
  } >"$fleet_directory/inventory.ini"
  cat >"$fleet_directory/rules.ini" <<'RULES'
[service stock]
timeout = 2s
[route lookup]
service = stock
path = /lookup
method = GET
urgent = yes
[route reserve]
service = stock
path = /reserve
method = POST
[route sheet]
service = stock
path = /sheet
method = GET
timeout = 20s
RULES
}

fleet_platform() { echo "$fleet_host:7000"; }
fleet_entry() { echo "$fleet_host:$((7000 + $1))"; }
fleet_operations() { echo "$fleet_host:$((7000 + 100 + $1))"; }
fleet_peers() { echo "$fleet_host:$((7000 + 200 + $1))"; }
fleet_relay() { echo "$fleet_host:$((7400 + $1))"; }
fleet_rollout() { echo "$fleet_host:$((7500 + $1))"; }
fleet_target() { echo "$fleet_host:$((7000 + 300 + $1))"; }

# fleet_list NAME STATE sets an instance's state in the platform's list: live, leaving or gone.
fleet_list() {
  curl -s -o /dev/null -X PUT "http://$(fleet_platform)/control/instance?name=$1&state=$2"
}

# fleet_fault ADDRESS NAME VALUE switches a fault of a stand-in.
fleet_fault() { curl -s -o /dev/null -X PUT "http://$1/control/fault?name=$2&value=$3"; }

# fleet_entry_settings NUMBER writes an entry's settings and prints their path.
fleet_entry_settings() {
  local path="$fleet_directory/entry-$1.ini"
  cat >"$path" <<SETTINGS
[entry]
name = entry-$1
[callers]
address = $(fleet_entry "$1")
keep = 1s
[platform]
address = $(fleet_platform)
poll = 200ms
[operations]
address = $(fleet_operations "$1")
tokens = $fleet_directory/operators.ini
SETTINGS
  echo "$path"
}

fleet_start_entry() {
  local number=$1
  shift
  fleet_start "entry-$number" "$fleet_build/apps/trefoilbend/trefoilbend" \
    --settings "$(fleet_entry_settings "$number")" "$@"
  fleet_await "$(fleet_operations "$number")" /v1/status
}

fleet_start_target() {
  local number=$1
  shift
  fleet_start "stock-$number" "$fleet_build/stand_ins/stand_in_target" \
    --address "$(fleet_target "$number")" --seed "$number" "$@"
  fleet_await "$(fleet_target "$number")" /load
  fleet_list "stock-$number" live
}

# fleet_start_all ENTRIES TARGETS TARGET_ARGUMENTS... starts everything and applies the files.
fleet_start_all() {
  local entries=$1 targets=$2 i
  shift 2
  fleet_files "$entries" "$targets"
  fleet_start platform "$fleet_build/stand_ins/stand_in_platform" --address "$(fleet_platform)"
  fleet_await "$(fleet_platform)" /instances
  for ((i = 1; i <= targets; i++)); do fleet_start_target "$i" "$@"; done
  for ((i = 1; i <= entries; i++)); do
    fleet_list "entry-$i" live
    fleet_start_entry "$i"
  done
  "$fleet_build/apps/trefoilctl/trefoilctl" apply --entry "$(fleet_operations 1)" \
    --inventory "$fleet_directory/inventory.ini" --rules "$fleet_directory/rules.ini" \
    --why "first configuration"
}
