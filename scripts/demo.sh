#!/usr/bin/env bash
# Installs, builds and shows the main job on the stand-ins: three entries, six targets, callers;
# one entry is killed and one stopped while callers go on. Ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_dependencies.sh
cmake --preset release >/dev/null
cmake --build --preset release

source scripts/fleet.sh
work=$(mktemp -d)
trap 'fleet_end; rm -rf "$work"' EXIT
fleet_begin "$work" build/release

echo
echo "== Starting the platform, six targets and three entries"
fleet_start_all 3 6 --service-us 5000

echo
echo "== Callers ask any entry which one to use and make 400 calls a second for 10 s"
echo "== entry-3 is killed after 3 s, entry-2 is stopped gracefully after 6 s"
build/release/stand_ins/stand_in_caller --entry "$(fleet_entry 1)" --entry "$(fleet_entry 2)" \
  --entry "$(fleet_entry 3)" --callers 40 --rate 400 --seconds 10 --reserve-percent 10 \
  --sheet-percent 5 >"$work/callers.json" &
callers=$!
sleep 3
fleet_signal entry-3 KILL
fleet_list entry-3 gone
sleep 3
fleet_signal entry-2 TERM
wait "$callers"

echo
echo "== What callers saw"
python3 - "$work/callers.json" <<'PYTHON'
import json, sys
report = json.load(open(sys.argv[1]))
print(f"answered {report['answered']}, refused as not run {report['not_run']}, "
      f"unknown {report['unknown']}, connection broken {report['broken']}, "
      f"failed {report['failed']}, wrong {report['wrong']}")
print(f"latency p50 {report['p50_us']} us, p99 {report['p99_us']} us")
PYTHON

echo
echo "== What the targets ran"
for i in 1 2 3 4 5 6; do
  curl -s "http://$(fleet_target "$i")/control/counts"
  echo
done
