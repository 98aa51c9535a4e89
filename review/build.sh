#!/usr/bin/env bash
# The stand-ins are Python files that need no build; checks that they and the programs can start.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first"; exit 1; }
for file in review/lib/*.py review/[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
