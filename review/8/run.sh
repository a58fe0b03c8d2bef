#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig ] && [ -x target/release/comfreyroad-proxy ] || exit 2
exec target/review-2/rig poison-event review/8
