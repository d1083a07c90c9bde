#!/usr/bin/env bash
# Builds what the scripts of the third review start. The entry VMs and the
# project's stand-ins are Python and use what the build of the deploy file has
# put into target/deps; the review's own stand-ins use the standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q mallowspindle review/harness_3 > /dev/null || true
PYTHONPATH=target/deps:. python3 - <<'EOT'
import mallowspindle.daemon
import mallowspindle.standins.platform_duties
import mallowspindle.standins.platform_store
import review.harness_3.fleet
import review.harness_3.server
EOT
echo "built for the third review"
