#!/bin/sh
# The stand-ins are Python files that need only the standard library of the environment in .venv, which the
# build of the deploy file makes. Compiling them shows that they are whole.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
