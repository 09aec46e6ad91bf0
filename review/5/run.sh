#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes to record.txt in this folder what was sent, answered and run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/radishstep-gateway ] && [ -x target/review/deadly_part ] || exit 2
timeout -k 2 115 target/review/deadly_part "$here" first_event
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
