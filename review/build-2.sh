#!/usr/bin/env bash
# The stand-ins of the second review are Python scripts of the standard library (3.11, as in Debian
# 12): nothing is compiled. Checks that they can be read and that the entry daemon is built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast, glob, sys
if sys.version_info < (3, 11):
    sys.exit("python3 is older than 3.11")
for path in glob.glob("review/lib-2/*.py") + glob.glob("review/[0-9]*/case.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
test -x target/apps/trefoilbend/trefoilbend
