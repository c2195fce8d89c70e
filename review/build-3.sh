#!/usr/bin/env bash
# Builds the cases of the third review and their stand-ins into target/review-3. Needs no packages
# beside those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
parts=(http store executor deployment)
objects=()
jobs=()
for name in "${parts[@]}"; do
  g++ "${flags[@]}" -c "review/standin-3/$name.cpp" -o "target/review-3/$name.o" &
  jobs+=("$!")
  objects+=("target/review-3/$name.o")
done
for job in "${jobs[@]}"; do
  wait "$job"
done
jobs=()
for source in review/1[1-5]/case.cpp; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" -Ireview/standin-3 "$source" "${objects[@]}" -o "target/review-3/case-$name" &
  jobs+=("$!")
done
for job in "${jobs[@]}"; do
  wait "$job"
done
