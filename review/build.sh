#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases to target/review. Needs only packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
objects=()
builds=()
for source in review/support/*.cpp; do
    object=$out/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c -o "$object" "$source" &
    builds+=($!)
    objects+=("$object")
done
for build in "${builds[@]}"; do
    wait "$build"
done
for source in review/[0-9]*/case.cpp; do
    g++ "${flags[@]}" -o "$out/case-$(basename "$(dirname "$source")")" "$source" "${objects[@]}"
done
