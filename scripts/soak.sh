#!/usr/bin/env bash
# Disturbs a fleet at random for a while: soak.sh [--seed N] [--minutes M] [options of the program].
# The same seed gives the same disturbances. The trace of a failed run is kept.
set -euo pipefail
cd "$(dirname "$0")/.."

seed=1
minutes=5
rest=()
while (($#)); do
  case $1 in
    --seed) seed=${2:?--seed needs a number}; shift 2 ;;
    --minutes) minutes=${2:?--minutes needs a number}; shift 2 ;;
    *) rest+=("$1"); shift ;;
  esac
done
cmake --preset release >/dev/null
cmake --build --preset release --target soak >/dev/null
build/release/tests/soak --seed "$seed" --seconds $((minutes * 60)) \
  --trace "build/soak-trace-$seed" "${rest[@]}"
