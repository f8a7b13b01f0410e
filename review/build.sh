#!/usr/bin/env bash
# Builds what the scripts start, into target/review: case 3 with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
Objects=()
Jobs=()
for Source in review/3/*.cpp; do
  Object=target/review/$(basename "$Source").o
  Objects+=("$Object")
  g++ -std=c++20 -O1 -c "$Source" -o "$Object" &
  Jobs+=($!)
done
for Job in "${Jobs[@]}"; do wait "$Job"; done
g++ "${Objects[@]}" -pthread -o target/review/case-3
