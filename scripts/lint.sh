#!/usr/bin/env bash
# Checks the format, lint and the project's own rules of all source files that git doesn't ignore, and
# that the generated chart data is current. build/release must be configured.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t code < <(git ls-files --cached --others --exclude-standard '*.c' '*.h' '*.cc')
mapfile -t product < <(git ls-files --cached --others --exclude-standard 'src/*.c' 'platform/*.c')
# Only the platform adapter and its tests may use the terms and wire names of the users' platform.
mapfile -t inner < <(printf '%s\n' "${code[@]}" | grep -vE '^(platform|test/unit/platform)/')

clang-format --dry-run --Werror "${code[@]}"

if grep -nIwiE '(zone|zones|tenant|tenants|upstream|upstreams)' "${inner[@]}"; then
	echo "lint: words that the house style replaces" >&2
	exit 1
fi
if grep -nIiE 'x-fescuemill-|Instances\.(Heartbeat|Deregister)|virtual_hosts|slo_latency_ms|cold_left_ms' \
	"${inner[@]}"; then
	echo "lint: names of the platform's wire outside platform/" >&2
	exit 1
fi
if grep -nIiE 'SPDX|Licensed under|Copyright' "${code[@]}"; then
	echo "lint: a licence notice in a source file" >&2
	exit 1
fi
if grep -nE '\b(system|popen|fork|vfork|execve?|execvp|posix_spawnp?|uv_spawn|shm_open)\(' \
	"${product[@]}"; then
	echo "lint: a product process may start no other and share no memory" >&2
	exit 1
fi
if grep -nE 'GTEST_SKIP|DISABLED_' "${code[@]}"; then
	echo "lint: a skipped or disabled test" >&2
	exit 1
fi
cppcheck --quiet --error-exitcode=1 --enable=warning,performance,portability --std=c11 \
	--inline-suppr --suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
	-D_GNU_SOURCE -DH2O_USE_LIBUV=1 -I src -I platform -j "$(nproc)" "${product[@]}"
printf '%s\n' "${product[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release \
	2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
scripts/embed-charts.sh --check
