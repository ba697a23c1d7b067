#!/usr/bin/env bash
# Starts a fleet of two regions on stand-ins, drives all its services, prints the table by class and
# the ledger's last line, and stops it. Exits with 1 if anything is lost, doubled, cut or corrupted.
# Usage: scripts/demo.sh [--seconds N] [--deployment rangitoto|amet] [--hold N]
# With --hold the fleet stays up N seconds longer, or until Ctrl-C, for operators' commands to be tried.
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
