#!/usr/bin/env bash
# Builds the programs of the scripts in review/4 to review/8, with the stand-ins
# that they start. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --fresh -S review/4 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=
cmake --build target/review-2 -j"$(nproc)"
