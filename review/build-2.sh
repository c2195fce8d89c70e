#!/usr/bin/env bash
# Builds the cases of the second review and their stand-ins into target/review-2. Needs no packages
# beside those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
parts=(http standin executor)
objects=()
for name in "${parts[@]}"; do
  g++ "${flags[@]}" -c "review/standin-2/$name.cpp" -o "target/review-2/$name.o" &
  objects+=("target/review-2/$name.o")
done
for job in $(jobs -p); do
  wait "$job"
done
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  [[ " ${parts[*]} " == *" $name "* ]] && continue
  g++ "${flags[@]}" "$source" "${objects[@]}" -lxxhash -o "target/review-2/$name" &
done
for job in $(jobs -p); do
  wait "$job"
done
