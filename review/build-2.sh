#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: plain Python, which is only compiled. They need the standard
# library, and `roselink.protocol` for the records between processes. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-2 review/4 review/5 review/7 review/8
PYTHONPATH=".:target/deps:review/standins-2" python3 -c "import fleet2, nat"
