#!/usr/bin/env bash
# Measures changes of configuration on real processes.
# usage: bench/configuration.sh BUILD ENTRIES [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
entries=$2
seconds=${3:-20}
source scripts/fleet.sh
directory=$(mktemp -d)
trap 'fleet_end; rm -rf "$directory"' EXIT
fleet_begin "$directory" "$build"
fleet_start_all "$entries" 2 >/dev/null
control() { "$build/apps/trefoilctl/trefoilctl" "$@"; }

# Processor time of all entries in clock ticks.
ticks() {
  local total=0 i
  for ((i = 1; i <= entries; i++)); do
    total=$((total + $(awk '{print $14 + $15}' "/proc/${fleet_pids[entry-$i]}/stat")))
  done
  echo "$total"
}
count() { curl -s "http://$(fleet_platform)/control/counts" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }

sleep 5
before_ticks=$(ticks) before_reads=$(count reads) before_writes=$(count writes)
sleep "$seconds"
after_ticks=$(ticks) after_reads=$(count reads)
hertz=$(getconf CLK_TCK)
awk -v t=$((after_ticks - before_ticks)) -v h="$hertz" -v s="$seconds" -v n="$entries" \
  'BEGIN {printf "figure idle_processor_per_entry %.3f %%\n", 100 * t / h / s / n}'
awk -v r=$((after_reads - before_reads)) -v s="$seconds" \
  'BEGIN {printf "figure platform_reads %.1f 1/s\n", r / s}'
memory=0
for ((i = 1; i <= entries; i++)); do
  resident=$(awk '/VmRSS/ {print $2}' "/proc/${fleet_pids[entry-$i]}/status")
  memory=$((resident > memory ? resident : memory))
done
echo "figure greatest_resident_memory_of_an_entry $memory KiB"

# Time from sending a change until every entry has it in force.
for ((change = 1; change <= 10; change++)); do
  verb=$([ $((change % 2)) = 1 ] && echo out || echo in)
  begin=$(date +%s%N)
  force=$([ "$verb" = out ] && echo --force || true)
  # shellcheck disable=SC2086
  control data-centre "$verb" xela-2 $force --entry "$(fleet_operations 1)" >"$directory/change"
  end=$(date +%s%N)
  echo $(((end - begin) / 1000000))
done | sort -n >"$directory/times"
echo "figure in_force_median $(sed -n 5p "$directory/times") ms"
echo "figure in_force_greatest $(tail -1 "$directory/times") ms"
echo "figure platform_writes_per_change $(awk -v w=$(($(count writes) - before_writes)) 'BEGIN {print w / 10}') 1"
