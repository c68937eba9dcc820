#!/bin/sh
# Runs a case, at most 115 seconds: 1 the rule was broken, 0 it held, 2 the case could not run.
# Usage: run_case.sh FOLDER
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run the deploy file's build first" >&2; exit 2; }
PYTHONPATH=. timeout --kill-after=4 112 .venv/bin/python -B "$1/case.py"
code=$?
test "$code" = 0 || test "$code" = 1 || exit 2
exit "$code"
