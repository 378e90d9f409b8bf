#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-case ] && [ -x target/release/cranberrychute ] || exit 2
exec timeout -k 2 119 target/review/release/review-case 2 review/2/record.txt
