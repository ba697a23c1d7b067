#!/usr/bin/env bash
# Plays the regression runs on the users' bench: a full score of each deployment of the latest
# milestone that passed its gate. Stops at the first deployment that fails.
#   scripts/regression.sh PAGES WHY [JOBS]
# PAGES is the folder of the users' pages, WHY the line for the journal, JOBS the cores to use.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 2 ] || {
	sed -n '2,5s/^# //p' "$0" >&2
	exit 2
}
pages=$1
why=$2
jobs=${3:-$(($(nproc) / 2))}
bench=$(echo "$pages"/more/bench-*/bin/fleetbench)
[ -x "$bench" ] || {
	echo "regression: no bench under $pages" >&2
	exit 2
}
sites=(
	further/miniatyura-plovdiv
	further-grown/miniatyura-plovdiv-grown
	large/offcut-mesh-large
)
for site in "${sites[@]}"; do
	echo "regression: $site"
	log=$(mktemp)
	"$bench" score "$pages/$site.toml" --jobs "$jobs" --why "$why" | tee "$log"
	if ! grep -qx 'GATE passed' "$log"; then
		echo "regression: $site failed its gate" >&2
		exit 1
	fi
	rm -f "$log"
done
