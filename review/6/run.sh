#!/bin/sh
# Plays the case after the build of the deploy file and review/build-2.sh. With
# TROUBLE=0 it leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/gypsumtrestle ] && [ -x target/review-standin-2 ] || { echo "not built"; exit 2; }
exec target/review-standin-2 overlap "$here/record.txt"
