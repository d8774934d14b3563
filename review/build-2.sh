#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. They need the
# compiler and nlohmann-json3-dev, as the product does.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() { "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -I. "$@"; }
pids=()
for name in Http Proxy Minion Fleet; do
  compile -c "review/fleet/$name.cpp" -o "$out/$name.o" &
  pids+=($!)
done
for file in review/{6,7,8,9,10}/Case.cpp; do
  [ -e "$file" ] || continue
  number=$(basename "$(dirname "$file")")
  compile -c "$file" -o "$out/case-$number.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for object in "$out"/case-*.o; do
  compile "$object" "$out"/{Http,Proxy,Minion,Fleet}.o -o "${object%.o}"
done
