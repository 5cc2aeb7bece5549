#!/usr/bin/env bash
# Runs every bench and prints one figure a line. Usage: all.sh [BUILD].
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}

for program in "$build"/bench/*/*_bench; do
  echo "== $(basename "$program")"
  "$program"
done
for script in bench/*.sh; do
  [[ $script == bench/all.sh ]] && continue
  echo "== $script"
  "$script" "$build"
done
