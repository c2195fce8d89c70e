#!/usr/bin/env bash
# Builds the cases of the second review and their stand-ins into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
read -ra definitions < <(pkg-config --cflags cpp-httplib)
read -ra libraries < <(pkg-config --libs cpp-httplib)
flags+=("${definitions[@]}")
objects=()
for name in standin executor; do
  g++ "${flags[@]}" -c "review/standin-2/$name.cpp" -o "target/review-2/$name.o" &
  objects+=("target/review-2/$name.o")
done
for job in $(jobs -p); do
  wait "$job"
done
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  case "$name" in standin | executor) continue ;; esac
  g++ "${flags[@]}" "$source" "${objects[@]}" "${libraries[@]}" -lxxhash -o "target/review-2/$name" &
done
for job in $(jobs -p); do
  wait "$job"
done
