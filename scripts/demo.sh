#!/usr/bin/env bash
# Starts a fleet in two regions with stand-ins for platform, backend servers and link, calls all its
# services, prints the results by class and the last line of the ledger, and stops the fleet. Exits
# with 1 if a call was lost, doubled, cut or corrupted, or if a process did not exit with 0.
# Usage: scripts/demo.sh [--seconds N] [--deployment rangitoto|amet] [--hold N]
# With --hold the fleet keeps running for N seconds after the load, or until Ctrl-C, so that operator
# commands can be tried on it.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=10
deployment=rangitoto
hold=0
while [ $# -gt 0 ]; do
	case $1 in
	--seconds) seconds=${2:?--seconds needs a number} && shift 2 ;;
	--deployment) deployment=${2:?--deployment needs a name} && shift 2 ;;
	--hold) hold=${2:?--hold needs a number} && shift 2 ;;
	*) echo "demo.sh: unknown option $1" >&2 && exit 2 ;;
	esac
done
scripts/install-deps.sh
cmake --preset release >/dev/null
cmake --build --preset release >build/demo-build.log || {
	cat build/demo-build.log >&2
	exit 1
}
FESCUEMILL_BIN=build/release exec build/release/demo-fleet "$deployment" "$seconds" "$hold"
