#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin crashing-part review/4/record.txt
