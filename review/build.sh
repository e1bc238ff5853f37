#!/bin/sh
# Builds the stand-ins of the review's scripts; needs no network.
set -e
cd "$(dirname "$0")/standin"
exec cargo build --release --offline --locked
