#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
# plays it without the disruption. Writes to record.txt beside it what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
: >"$record" || exit 2
if ! [ -x target/review/rig ] || ! [ -x target/fennelyard ]; then
  echo "result: the case could not run: build the program and review/build.sh first" >>"$record"
  exit 2
fi
exec target/review/rig without-end "$record"
