#!/usr/bin/env bash
# Runs one measurement over real processes, each against its baselines in the same run:
#   scripts/measure.sh choice|fail-fast|flood-low|flood-high|link|overhead|rest|calls|gossip [SECONDS]
# Each prints a table and a last line with its ratio to the target.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-}
seconds=${2:-10}
scripts/install-deps.sh
cmake --preset release >/dev/null
cmake --build --preset release >/dev/null
export FESCUEMILL_BIN=$PWD/build/release
case $name in
choice | fail-fast | flood-low | flood-high | link)
	exec build/release/measure-fleet "$name" "$seconds"
	;;
overhead)
	exec build/release/overhead "$seconds"
	;;
rest)
	exec build/release/measure-rest "$seconds" 8 16 32 64
	;;
calls)
	exec build/release/measure-calls "$seconds" 100 200 400 800 2>&1 >/dev/null
	;;
gossip)
	exec build/release/measure-gossip-slope 100 300 1000 2000 3100 2>/dev/null
	;;
*)
	sed -n '2,4s/^# //p' "$0" >&2
	exit 2
	;;
esac
