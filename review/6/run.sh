#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. With TROUBLE=0 the disruptions are left out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/linkhold-platform ] || exit 2
[ -x target/review-2/standin-2 ] || exit 2
exec timeout -k 5 110 target/review-2/standin-2 forgotten-instances review/6
