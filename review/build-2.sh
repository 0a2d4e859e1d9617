#!/usr/bin/env bash
# Checks the stand-ins of the cases from 6 on. They are written for the standard
# library of Python alone, so that there is nothing to build or to install.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in support2/*.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
(cd support2 && python3 -c 'import engines, http11, platform_store')
