#!/usr/bin/env bash
# The stand-ins of all cases are one Python module of the standard library; this checks that it compiles.
# The daemon comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - lib/*.py [0-9]/case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
    print("compiles:", path)
PYTHON
[ -x ../target/apps/trefoilbend/trefoilbend ] || echo "note: build the daemon with the build line of deploy/system.toml"
