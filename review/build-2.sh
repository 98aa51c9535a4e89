#!/bin/sh
# Build the stand-ins of the cases 6 to 10: modules of the standard library only, run from source.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/lib-2 || exit 1
for case in 6 7 8 9 10; do
    [ ! -d "review/$case" ] || python3 -m compileall -q "review/$case" || exit 1
done
[ -d target/deps ] || echo "target/deps is missing: run the build line of deploy/system.toml"
