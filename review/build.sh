#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need no library.
set -eu
cd "$(dirname "$0")/standin"
cargo build --release --locked --offline
