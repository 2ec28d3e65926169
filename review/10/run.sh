#!/usr/bin/env bash
# Plays the scene "crash" against the relay of the deploy file. Needs the build of the deploy file and
# review/build-2.sh. TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/sycamorelift-relay ] && [ -x target/review-scene-2 ] || { echo "not built"; exit 2; }
exec target/review-scene-2 crash target/sycamorelift-relay "$here/record.txt"
