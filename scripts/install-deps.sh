#!/usr/bin/env bash
# Installs the packages that the build, the checks and the tests need, unless they are installed.
set -euo pipefail
packages=(
	gcc g++ git libc6-dev pkg-config cmake ninja-build
	libuv1-dev libzmq3-dev libh2o-dev libargtable2-dev libjansson-dev libmsgpack-dev
	libxxhash-dev libssl-dev zlib1g-dev libgtest-dev libgmock-dev librapidcheck-dev
	clang clang-format clang-tidy cppcheck libclang-rt-14-dev curl
)
missing=()
for package in "${packages[@]}"; do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
		missing+=("$package")
done
[ ${#missing[@]} -gt 0 ] || exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
