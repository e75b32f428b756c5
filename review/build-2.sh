#!/bin/sh
# Builds what the cases 6 to 10 start beside the node: their stand-ins need only Python's standard library and
# the environment that the deploy file's build leaves. No network.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for file in review/harness_2.py review/*/case_2.py review/9/discovery_2.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
