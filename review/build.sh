#!/bin/sh
# The stand-ins of the scripts are Python files of the standard library: there is nothing to build.
# This checks that they can be read by the interpreter that runs them.
set -e
cd "$(dirname "$0")"
python3 - lib/*.py */case.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or newer")
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
