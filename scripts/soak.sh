#!/usr/bin/env bash
# Runs the fault soak: real processes, faults from outside, promises checked throughout.
#   scripts/soak.sh [--seed N] [--seeds COUNT] [--seconds N] [--nodes N]
# Runs COUNT seeds from N on, one after the other; the log of a seed that fails is kept. Ends with
# 1 if any failed.
set -uo pipefail
cd "$(dirname "$0")/.."
seed=1
seeds=1
seconds=20
nodes=8
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--seeds) seeds=$2 ;;
	--seconds) seconds=$2 ;;
	--nodes) nodes=$2 ;;
	*) echo "usage: scripts/soak.sh [--seed N] [--seeds COUNT] [--seconds N] [--nodes N]" >&2; exit 2 ;;
	esac
	shift 2
done
cmake --preset release >/dev/null && cmake --build --preset release --target fescue-soak fescuemilld \
	standin-platform standin-backend standin-link >/dev/null || exit 1
failed=0
for ((i = seed; i < seed + seeds; i++)); do
	log=build/release/soak-$i.log
	if FESCUEMILL_BIN=build/release build/release/fescue-soak "$i" "$seconds" "$nodes" >"$log" 2>&1; then
		grep '^soak:' "$log"
	else
		failed=$((failed + 1))
		echo "soak: seed $i FAILED, see $log"
		grep -E 'Failure|told|soak:' "$log" | head -n 5
	fi
done
echo "soak: $seeds seeds, $failed failed"
[ "$failed" -eq 0 ]
