#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review:. timeout -k 2 110 python3 "review/5/case.py"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
