#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start, after the build of the
# deploy file: it compiles them and their stand-ins, and checks that those of the
# project can be loaded with target/deps alone.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
python3 -B - <<'CHECK'
from importlib import import_module
from pathlib import Path

for path in sorted(Path('review').glob('*/case.py')):
    if path.parent.name in {'6', '7', '8', '9', '10'}:
        compile(path.read_text(encoding='utf-8'), str(path), 'exec')
for name in (
    'mallowspindle.daemon',
    'mallowspindle.standins.platform_duties',
    'mallowspindle.standins.platform_store',
    'harness_2.documents',
    'harness_2.server',
):
    import_module(name)
CHECK
echo "review/build-2.sh: all stand-ins can be loaded"
