#!/bin/sh
# Runs the case on the release build. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/release/dappleway ]; then
    echo "build the program first: cargo build --release --package dappleway" >&2
    exit 2
fi
[ -x target/review/rig ] || sh review/build.sh || exit 2
exec target/review/rig stale-proof "$folder"
