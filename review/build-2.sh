#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and 5: store, minions, clients and checks, in one program.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --offline --locked
