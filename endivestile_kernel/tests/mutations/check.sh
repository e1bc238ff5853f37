#!/usr/bin/env bash
# Applies each mutation to a scratch copy and checks that the tests of shards fail.
#
# Usage: check.sh [NAME]      mutation to try (a glob), all without an argument
# KEEP=DIR                    directory to which the test logs are copied
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../../.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

git -C "$root" archive HEAD | tar -x -C "$scratch"
missed=0
for patch in "$here"/${1:-*}.patch; do
    name=$(basename "$patch" .patch)
    patch -s -d "$scratch" -p1 <"$patch"
    log=$scratch/$name.log
    if (cd "$scratch" && CARGO_TARGET_DIR=$root/target/mutations cargo test --locked -j 4 \
        -p endivestile_kernel --no-fail-fast --test shards --test shard_model) >"$log" 2>&1; then
        echo "missed $name"
        missed=1
    elif grep -q '^test .* FAILED' "$log"; then
        echo "caught $name by" $(sed -n 's/^test \(.*\) \.\.\. FAILED/\1/p' "$log")
    else
        echo "broken $name: does not build"
        missed=1
    fi
    [ -z "${KEEP:-}" ] || cp "$log" "$KEEP/"
    patch -s -R -d "$scratch" -p1 <"$patch"
done
exit $missed
