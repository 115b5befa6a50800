#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. It takes about 65 seconds.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-standin ] || [ ! -x target/portgauge ]; then
  review/build.sh || exit 2
fi
TROUBLE="${TROUBLE:-1}" exec target/review-standin flood target/portgauge review/3/record.txt
