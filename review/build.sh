#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
Common=(review/common/store.cpp review/common/database.cpp
  review/common/world.cpp)
Objects=()
for Source in "${Common[@]}" review/common/json.cpp review/*/case.cpp; do
  Object=target/review/$(echo "${Source#review/}" | tr / - ).o
  Objects+=("$Object")
  g++ -std=c++20 -O1 -c -I review/common "$Source" -o "$Object" &
done
for Job in $(jobs -p); do wait "$Job"; done
for Source in review/*/case.cpp; do
  Case=$(basename "$(dirname "$Source")")
  g++ target/review/"$Case"-case.cpp.o target/review/common-*.o -pthread \
    -o "target/review/case-$Case"
done
