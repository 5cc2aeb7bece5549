#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases from 11 on, into build/review-3. Needs g++ and
# nlohmann/json, which the build of the deploy file needs too. The daemon itself comes from that build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
for source in review/lib-3/*.cpp; do
  name=$(basename "$source" .cpp)
  if [[ ! -x $out/$name || $source -nt $out/$name || review/lib-3/stage.hpp -nt $out/$name ]]; then
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "$out/$name" "$source" &
  fi
done
wait
for source in review/lib-3/*.cpp; do
  [[ -x $out/$(basename "$source" .cpp) ]] || { echo "not built: $source" >&2; exit 1; }
done
