#!/usr/bin/env bash
# Builds the stand-ins and the programs of the review's scripts, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread)
read -ra jansson < <(pkg-config --cflags --libs jansson)
for source in review/[1-5]/case.c; do
	[ -e "$source" ] || continue
	number="$(basename "$(dirname "$source")")"
	gcc "${flags[@]}" -o "target/review/case-$number" "$source" review/standin/*.c "${jansson[@]}"
done
