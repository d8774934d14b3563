#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start, into
# target/review-3. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O1 -Wall -Wextra -pthread review/standin-3/*.cpp -o target/review-3/cases
