#!/usr/bin/env bash
# Builds the programs of the cases in review/6 to review/10, with the stand-ins
# in review/stand-2, into target/review-2. Needs a compiler and nlohmann-json,
# which the build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/stand-2 "$source" \
    -o "target/review-2/case-$number" -lpthread
done
