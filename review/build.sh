#!/usr/bin/env bash
# Checks what the scripts of this folder need. The stand-ins are Python modules,
# so there is nothing to compile; the deploy file's build has to come first.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
  echo "target/deps is missing: run the build of deploy/system.toml first" >&2
  exit 1
fi
PYTHONPATH=target/deps:review python3 -c '
import aiohttp
import harness.callers
import harness.processes
import harness.proxies
import harness.server
import mallowspindle.standins.platform_duties
import mallowspindle.standins.platform_store
'
