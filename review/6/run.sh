#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
exec env PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -S "$here/case.py"
