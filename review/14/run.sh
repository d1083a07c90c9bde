#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec python3 review/14/run.py
