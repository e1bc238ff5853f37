#!/bin/sh
# Builds the stand-ins of the third review's scripts. Needs no network.
set -e
cd "$(dirname "$0")/stand-ins-3"
cargo build --release --offline
