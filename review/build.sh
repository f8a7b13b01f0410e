#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for Source in review/common/*.cpp review/*/case.cpp; do
  Object=target/review/$(echo "${Source#review/}" | tr / -).o
  g++ -std=c++20 -O1 -c -I review/common "$Source" -o "$Object" &
done
for Job in $(jobs -p); do wait "$Job"; done
for Source in review/*/case.cpp; do
  Case=$(basename "$(dirname "$Source")")
  g++ target/review/"$Case"-case.cpp.o target/review/common-*.o -pthread \
    -o target/review/case-"$Case"
done
