#!/usr/bin/env bash
# Runs the linters, builds, runs all tests in the release and the sanitizer build, and runs the fuzz
# targets. A test named in KNOWN-RED.txt may fail: its failure is printed but not counted. The last
# line is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh || exit 1

passed=0
failed=0
known=$(grep -oE '^test: [A-Za-z0-9_-]+' KNOWN-RED.txt 2>/dev/null | cut -d' ' -f2)

# count_result NAME STATUS: counts a test as passed or failed by its exit status; a failure of a test
# named in KNOWN-RED.txt is only printed.
count_result() {
	if [ "$2" -eq 0 ]; then
		passed=$((passed + 1))
	elif grep -qxF "$1" <<<"$known"; then
		echo "known red: $1"
	else
		echo "FAILED: $1"
		failed=$((failed + 1))
	fi
}

# run_tests PRESET: builds the preset, runs its tests and counts the result of each.
run_tests() {
	local preset=$1 junit=build/$1/results.xml name state
	if ! { cmake --preset "$preset" >/dev/null && cmake --build --preset "$preset" -- -k 0; }; then
		count_result "build-$preset" 1
		return
	fi
	count_result "build-$preset" 0
	ctest --test-dir "build/$preset" -j "$(nproc)" --output-on-failure --output-junit results.xml \
		--no-tests=error >build/$preset/ctest.log || cat build/$preset/ctest.log
	while IFS=$'\t' read -r name state; do
		[ "$state" = run ]
		count_result "$name" $?
	done < <(sed -nE 's/.*<testcase name="([^"]+)".* status="([^"]+)".*/\1\t\2/p' "$junit")
}

# fuzz_runs TARGET: prints the number of runs of a target; fewer for gossip, as each run creates a node.
fuzz_runs() {
	case $1 in
	gossip) echo 15000 ;;
	*) echo 100000 ;;
	esac
}

# run_fuzz: runs each fuzz target on its committed corpus, with a fixed number of runs and a fixed seed.
run_fuzz() {
	local corpus name log found
	if ! { cmake --preset fuzz >/dev/null && cmake --build --preset fuzz >/dev/null; }; then
		count_result build-fuzz 1
		return
	fi
	count_result build-fuzz 0
	for corpus in test/fuzz/corpus/*; do
		name=$(basename "$corpus")
		log=build/fuzz/$name.log
		found=build/fuzz/found-$name
		rm -rf "$found" && mkdir -p "$found"
		"build/fuzz/fuzz-$name" -runs="$(fuzz_runs "$name")" -seed=7 -max_len=4096 \
			-artifact_prefix=build/fuzz/ "$found" "$corpus" >"$log" 2>&1
		count_result "fuzz-$name" $? || tail -n 20 "$log"
	done
}

cmake --preset release >/dev/null || exit 1
scripts/lint.sh
count_result lint $?
run_tests release
run_tests sanitize
run_fuzz
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
