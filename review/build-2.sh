#!/usr/bin/env bash
# Builds the programs of the cases review/6 to review/10 into build/review-2. Needs what the build of
# deploy/system.toml needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
read -ra flags <<<"$(pkg-config --cflags --libs jansson)"
for source in review/[0-9]*/scene.c; do
	number=$(basename "$(dirname "$source")")
	cc -std=gnu11 -D_GNU_SOURCE -O1 -Wall -Wextra -pthread -I platform -I review/standin-2 \
		-o "build/review-2/case-$number" "$source" review/standin-2/*.c "${flags[@]}"
done
