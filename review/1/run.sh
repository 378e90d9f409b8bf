#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-case ] && [ -x target/release/cranberrychute ] || exit 2
PROCESSES=$(mktemp) || exit 2
export PROCESSES
# Ends gateways that are left if the program was ended early.
end_processes() {
  while read -r process; do
    if grep -qs cranberrychute "/proc/$process/cmdline"; then kill -s KILL "$process"; fi
  done < "$PROCESSES"
  rm -f "$PROCESSES"
}
trap end_processes EXIT
timeout -k 1 118 target/review/release/review-case 1 review/1/record.txt
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
