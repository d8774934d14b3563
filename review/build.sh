#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/out. Run it after the build of
# the deploy file, whose libraries in target/ it links.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
out=$top/review/out
mkdir -p "$out"
for name in Minion Call; do
  program=$out/review-$(echo "$name" | tr '[:upper:]' '[:lower:]')
  g++ -std=c++17 -O1 -pthread -I "$top" "$top/review/standin/$name.cpp" \
    -o "$program" \
    "$top/target/dogwooddrum/transport/libdogwooddrum_transport.a" \
    "$top/target/dogwooddrum/protocol/libdogwooddrum_protocol.a" \
    "$top/target/dogwooddrum/base/libdogwooddrum_base.a" \
    -lcrypto -lxxhash
done
