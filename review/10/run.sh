#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
# Passes its signals on to all processes that were started, which are in its process group.
timeout -k 2 118 review/stand-ins-3/target/release/case-3 shrink "$here/record.txt" &
group=$!
trap 'kill -TERM "$group"; wait "$group"; exit 2' INT TERM
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
