#!/usr/bin/env bash
# Runs the case once; record.txt has what was sent, answered and run. TROUBLE=0: without the suspension.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-1 ] || exit 2
RECORD=review/1/record.txt exec timeout --signal=KILL 118 target/review/case-1
