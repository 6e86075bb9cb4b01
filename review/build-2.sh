#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use no library besides Rust's own.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --locked --offline
