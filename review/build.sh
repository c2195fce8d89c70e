#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build. Needs no packages beside
# those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build -j8
