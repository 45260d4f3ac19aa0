#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/corianderfork-entry ] || { echo "build the programs of the deploy file first"; exit 2; }
[ -x target/review/release/review-standin ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/release/review-standin standstill review/3/record.txt
