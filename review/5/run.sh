#!/usr/bin/env bash
# Runs the case once; record.txt has what was sent, answered and run. TROUBLE=0: the same change with a short prefix.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-5 ] || exit 2
RECORD=review/5/record.txt exec timeout --signal=KILL 118 target/review/case-5
