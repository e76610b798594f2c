#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin/objects
printf '%s\n' stand/*.cpp | xargs -P 8 -I{} sh -c \
  'g++ -std=c++20 -O1 -pthread -c "{}" -o "bin/objects/$(basename "{}" .cpp).o"'
for case in stand/case_*.cpp; do
  name=$(basename "$case" .cpp)
  g++ -pthread -o "bin/${name#case_}" "bin/objects/$name.o" \
    bin/objects/{http,store,worker,cell}.o
done
