#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in stand/case_*.cpp; do
  name=$(basename "$case" .cpp)
  g++ -std=c++20 -O1 -pthread -o "bin/${name#case_}" "$case" \
    stand/http.cpp stand/store.cpp stand/worker.cpp stand/cell.cpp
done
