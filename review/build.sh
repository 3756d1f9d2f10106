#!/usr/bin/env bash
# The stand-ins need no build: they use Python's standard library only. This compiles them once, as a check.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
PYTHON
