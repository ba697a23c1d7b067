#!/usr/bin/env bash
# Updates the tables in docs/SETTINGS.md and docs/COUNTERS.md from the definitions in the code, which
# build/release/unit-pages prints where a page differs from them.
set -euo pipefail
cd "$(dirname "$0")/.."
# put_table PAGE: replaces all table lines of a page with the table on standard input.
put_table() {
	local table
	table=$(mktemp)
	cat >"$table"
	awk -v table="$table" '/^\|/ { if (!done) { while ((getline line < table) > 0) print line; done = 1 } next } { print }' \
		"$1" >"$1.new"
	mv "$1.new" "$1"
	rm -f "$table"
}
build/release/unit-pages --gtest_filter='*Settings*' | grep '^|' >settings.tmp || true
build/release/unit-pages --gtest_filter='*Counters*' | grep '^|' >counters.tmp || true
[ ! -s settings.tmp ] || put_table docs/SETTINGS.md <settings.tmp
[ ! -s counters.tmp ] || put_table docs/COUNTERS.md <counters.tmp
rm -f settings.tmp counters.tmp
