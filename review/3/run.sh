#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
# plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review/rig && test -x target/fennelyard || exit 2
exec target/review/rig planned-stop review/3
