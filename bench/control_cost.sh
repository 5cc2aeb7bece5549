#!/usr/bin/env bash
# Measures what control costs an idle entry at several sizes: memory, processor time and bytes
# read from the platform, against the budget of 64 MB, 1.5% of a core and 8 KB a second. Prints
# one figure a line. Usage: control_cost.sh [BUILD [SECONDS]].
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
build=${1:-build/release}
seconds=${2:-10}
work=$(mktemp -d)
trap 'fleet_end; rm -rf "$work"' EXIT

# write_inventory TARGETS SERVICES writes the files and the commands that list all targets.
write_inventory() {
  python3 - "$1" "$2" "$work" "$(fleet_platform)" <<'PYTHON'
import sys

targets, services, folder, platform = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], sys.argv[4]
with open(f"{folder}/inventory.ini", "a", encoding="utf-8") as inventory:
    for number in range(services):
        inventory.write(f"[service service-{number}]\nversion = 1\n")
    for number in range(targets):
        inventory.write(
            f"[instance target-{number}]\ndata-centre = xela-{number % 2 + 1}\n"
            f"service = service-{number % services}\nslots = 6\nconnections = 200\n"
            f"address = 10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}:8080\n"
        )
with open(f"{folder}/list.curl", "w", encoding="utf-8") as commands:
    for number in range(targets):
        commands.write(
            f'url = "http://{platform}/control/instance?name=target-{number}&state=live"\n'
            'output = "/dev/null"\n'
        )
PYTHON
  curl -s -X PUT -K "$work/list.curl"
}

ticks() { awk '{print $14 + $15}' "/proc/${fleet_pids[entry-1]}/stat"; }
reads() { curl -s "http://$(fleet_platform)/control/counts" |
  python3 -c 'import json,sys; print(json.load(sys.stdin)["reads"])'; }
length() { curl -s -o /dev/null -w '%{size_download}' "http://$(fleet_platform)$1"; }

# measure TARGETS SERVICES prints the figures of one size.
measure() {
  local name="$1_targets" before after reads_before reads_after
  fleet_begin "$work" "$build"
  fleet_start_all 1 0 >/dev/null 2>&1
  write_inventory "$1" "$2"
  "$build/apps/trefoilctl/trefoilctl" apply --entry "$(fleet_operations 1)" \
    --inventory "$work/inventory.ini" --rules "$work/rules.ini" --who bench \
    --why "size" >/dev/null
  sleep 2
  before=$(ticks)
  reads_before=$(reads)
  sleep "$seconds"
  after=$(ticks)
  reads_after=$(reads)
  echo "figure idle_memory_$name $(awk '/VmRSS/ {print $2}' \
    "/proc/${fleet_pids[entry-1]}/status") KB"
  echo "figure idle_processor_time_$name $(((after - before) * 1000 / seconds)) 0.001%_of_a_core"
  echo "figure platform_reads_$name $(((reads_after - reads_before) * 10 / seconds)) 0.1/s"
  echo "figure list_answer_$name $(length /instances) B"
  fleet_end
}

echo "no random numbers, $seconds s a size, poll of 200 ms, $(nproc) cores"
measure 870 57
measure 2900 190
measure 8700 570
