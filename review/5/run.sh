#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="${DEPS:-target/deps}:review/standins"
exec timeout -k 3 115 python3 review/5/case.py
