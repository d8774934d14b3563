#!/usr/bin/env bash
# Guards against an installation that lacks a header, a library or a target:
# installs the build into a new folder, and builds and runs apps/embed against
# the installation. Usage: embed-installed.sh SOURCE BUILD
set -euo pipefail
source=$1
build=$2
folder=$(mktemp -d "$build/embed-XXXXXX")
trap 'rm -rf "$folder"' EXIT
sanitize=$(sed -n 's/^DOGWOODDRUM_SANITIZE:STRING=//p' "$build/CMakeCache.txt")
cmake --install "$build" --prefix "$folder/prefix" >/dev/null
cmake -S "$source/apps/embed" -B "$folder/build" -G Ninja \
  -DCMAKE_PREFIX_PATH="$folder/prefix" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
  -DCMAKE_CXX_FLAGS="${sanitize:+-fsanitize=$sanitize}" >/dev/null
cmake --build "$folder/build"
"$folder/build/embed"
