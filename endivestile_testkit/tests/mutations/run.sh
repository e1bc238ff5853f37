#!/usr/bin/env bash
# Applies each mutation to a scratch copy of the workspace and says whether the
# stories, the random sequences or the shards' tests catch it; mutations of
# fleets are tried with the stories and random sequences of fleets, the model check of
# leases and the tests of incarnations, those of the forecast (fleet_forecast_*) with the
# tests of its decisions.
#
# Usage: run.sh [NAME...]     mutations to try, all without an argument
# RANDOM_CASES  random sequences per mutation (default 1000)
# PROCESSES=1   try the tests with real processes too
# JOBS          cargo's jobs (default 4)
# SCRATCH       scratch directory (default: a new one, removed at the end)
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../../.." && pwd)"
export RANDOM_CASES="${RANDOM_CASES:-1000}"
jobs="${JOBS:-4}"
scratch="${SCRATCH:-}"
if [[ -z "$scratch" ]]; then
    scratch="$(mktemp -d)"
    trap 'rm -rf "$scratch"' EXIT
fi
export CARGO_TARGET_DIR="$scratch/target"
copy="$scratch/copy"
patches="$copy/endivestile_testkit/tests/mutations"

# One snapshot for all mutations: the workspace may change while they are tried.
rm -rf "$copy"
mkdir -p "$copy"
git -C "$root" ls-files -z | tar -C "$root" --null -T - -cf - | tar -C "$copy" -xmf -

processes=()
for test in "$root"/endivestile/tests/promise_*.rs; do
    processes+=(--test "$(basename "$test" .rs)")
done

# Prints caught or missed for one of the test programs.
try() {
    local what="$1" log="$2"
    shift 2
    if cargo test --quiet --locked -j "$jobs" --manifest-path "$copy/Cargo.toml" "$@" >"$log" 2>&1; then
        echo "  $what: missed"
    elif grep -q "could not compile" "$log"; then
        echo "  $what: does not compile"
        broken=1
    else
        echo "  $what: caught"
        caught=1
    fi
}

names=("$@")
if [[ ${#names[@]} -eq 0 ]]; then
    for patch in "$here"/*.patch; do names+=("$(basename "$patch" .patch)"); done
fi
failed=0
for name in "${names[@]}"; do
    patch --quiet --directory="$copy" --strip=1 <"$patches/$name.patch"
    caught=0 broken=0
    echo "$name"
    if [[ "$name" == fleet_forecast_* ]]; then
        try decisions "$scratch/$name.decisions.log" -p endivestile_kernel --test admission_forecast
        patch --quiet --reverse --directory="$copy" --strip=1 <"$patches/$name.patch"
        if [[ $broken -eq 1 || $caught -eq 0 ]]; then failed=$((failed + 1)); fi
        continue
    fi
    if [[ "$name" == fleet_* ]]; then
        try incarnations "$scratch/$name.incarnations.log" -p endivestile_kernel --test incarnations
        try lease-model "$scratch/$name.lease.log" -p endivestile_kernel --test lease_model
        try fleet-stories "$scratch/$name.fleet.log" -p endivestile_testkit --test fleet_stories fleet_stories_all
        try fleet-random "$scratch/$name.fleet-random.log" --release -p endivestile_testkit --test fleet_random
        patch --quiet --reverse --directory="$copy" --strip=1 <"$patches/$name.patch"
        if [[ $broken -eq 1 || $caught -eq 0 ]]; then failed=$((failed + 1)); fi
        continue
    fi
    try stories "$scratch/$name.stories.log" -p endivestile_testkit --test stories
    try random "$scratch/$name.random.log" -p endivestile_testkit --test random
    try shards "$scratch/$name.shards.log" -p endivestile_kernel --test shards
    if [[ -n "${PROCESSES:-}" ]]; then
        try processes "$scratch/$name.processes.log" -p endivestile "${processes[@]}"
    fi
    patch --quiet --reverse --directory="$copy" --strip=1 <"$patches/$name.patch"
    if [[ $broken -eq 1 || $caught -eq 0 ]]; then failed=$((failed + 1)); fi
done
echo "${#names[@]} mutations, $failed not caught"
exit "$((failed > 0))"
