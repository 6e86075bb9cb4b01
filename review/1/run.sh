#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
standin=../standin/target/release/review-standin
[ -x "$standin" ] && [ -x ../../target/release/otterwinch ] || { echo "not built" >&2; exit 2; }
exec "$standin" own-zone ../.. record.txt
