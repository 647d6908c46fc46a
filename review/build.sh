#!/usr/bin/env bash
# Builds the stand-ins of the script cases into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build/review/standin review/standin.cpp
