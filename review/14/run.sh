#!/usr/bin/env bash
# Plays the case that claim.txt describes. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/mustardsaddle target/review-3/lab; do
  [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-3.sh"; exit 2; }
done
exec target/review-3/lab -case dark -record review/14/record.txt
