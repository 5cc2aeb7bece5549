#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
REVIEW_CASE=$(cd "$(dirname "$0")" && pwd)
REVIEW_ROOT=$(cd "$REVIEW_CASE/../.." && pwd)
export REVIEW_CASE REVIEW_ROOT
program=$REVIEW_ROOT/build/review-3/era_evacuation
[[ -x $program && -x $REVIEW_ROOT/target/apps/trefoilbend/trefoilbend ]] || exit 2
exec "$program"
