#!/bin/sh
# Plays case 10: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Build with the deploy file's command and review/build-2.sh first.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN
standin=review/standin-2/target/release/standin-2
[ -n "$RUN" ] && [ -x "$standin" ] || { echo "not built"; exit 2; }
exec "$standin" 10 "$here/record.txt"
