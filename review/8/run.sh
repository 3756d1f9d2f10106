#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
export PYTHONPATH="$root:$root/target/deps"
exec timeout --foreground 115 python3 case.py
