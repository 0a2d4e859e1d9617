#!/usr/bin/env bash
# Prepares the stand-ins of the cases: they are Python and need no more than
# what the build of deploy/system.toml has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import aiohttp, yuccatally, yuccatally_standins.path_site"
python3 -m compileall -q review
