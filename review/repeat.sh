#!/usr/bin/env bash
# Runs a case five times and once without its disruption, and prints what each run said.
here="$(cd "$(dirname "$0")" && pwd)"
for run in 1 2 3 4 5; do
    echo "case $1, run $run: $(bash "$here/$1/run.sh")"
    [ "$run" = 5 ] && cp "$here/$1/record.txt" "$here/$1/record.keep"
done
echo "case $1, TROUBLE=0: $(TROUBLE=0 bash "$here/$1/run.sh")"
mv "$here/$1/record.keep" "$here/$1/record.txt"
