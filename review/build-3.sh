#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs a C++
# compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$number" \
    "$source"
done
