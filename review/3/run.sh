#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH="$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import aiohttp, yuccatally, yuccatally_standins.path_site' || exit 2
exec python3 "$folder/case.py"
