#!/usr/bin/env bash
# Runs the soak test: a fleet of real processes under load and injected faults, with every call's
# outcome checked.
#   scripts/soak.sh [--seed N] [--seeds COUNT] [--seconds N] [--nodes N]
# Runs COUNT seeds, starting with N, one after the other, and keeps the log of each as
# build/release/soak-SEED.log. Exits with 1 if a seed failed.
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
		grep -E 'Failure|reported as|soak:' "$log" | head -n 5
	fi
done
echo "soak: $seeds seeds, $failed failed"
[ "$failed" -eq 0 ]
