#!/usr/bin/env bash
# Measures the time that an entry adds to a call: the same driver straight to a target and through
# one entry, in one run, at one caller and at rising load. Prints one figure a line.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
build=${1:-build/release}
seconds=${2:-4}
work=$(mktemp -d)
trap 'fleet_end; rm -rf "$work"' EXIT
fleet_begin "$work" "$build"
fleet_start_all 1 4 --service-us 0 --slots 100000 >/dev/null

driver="$build/stand_ins/stand_in_caller"

value() { python3 -c 'import json,sys; print(round(json.load(sys.stdin)[sys.argv[1]]))' "$1"; }
ticks() { awk '{print $14 + $15}' "/proc/${fleet_pids[entry-1]}/stat"; }

# measure CALLERS RATE NAME prints the figures of one load.
measure() {
  local callers=$1 rate=$2 name=$3 direct through before after key
  direct=$("$driver" --direct "$(fleet_target 1)" --callers "$callers" --rate "$rate" \
    --seconds "$seconds")
  before=$(ticks)
  through=$("$driver" --entry "$(fleet_entry 1)" --callers "$callers" --rate "$rate" \
    --seconds "$seconds")
  after=$(ticks)
  for key in p50_us p99_us p999_us; do
    local there here
    there=$(value "$key" <<<"$direct")
    here=$(value "$key" <<<"$through")
    echo "figure added_${key%_us}_$name $((here - there)) us"
  done
  local calls
  calls=$(python3 -c 'import json,sys; print(json.load(sys.stdin)["answered"])' <<<"$through")
  echo "figure calls_per_second_$name $(value calls_per_second <<<"$through") calls/s"
  echo "figure processor_time_per_call_$name $(((after - before) * 10000 / calls)) us"
}

echo "seed 1, $seconds s a load, $(nproc) cores"
measure 1 0 one_caller
measure 32 2000 rate_2000
measure 32 8000 rate_8000
measure 64 0 saturated
