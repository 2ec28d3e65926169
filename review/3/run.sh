#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 1 broken, 0 held, 2 could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-scene ] && [ -x target/sycamorelift-relay ] || { echo "run the build line of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec target/review-scene -case drain -record review/3/record.txt
