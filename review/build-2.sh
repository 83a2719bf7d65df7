#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the stand-ins that they start, to target/review-2.
# Runs after the build of deploy/system.toml, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -DSPDLOG_FMT_EXTERNAL -Iinclude -Isrc -Iplatform -Itests -Ireview/support-2)
libraries=(target/libplatform_adapter.a target/libpomelohoist.a -lPocoNet -lPocoUtil -lPocoFoundation -lspdlog -lfmt
    -pthread)
objects=()
for source in review/support-2/*.cpp tests/support/child_process.cpp tests/support/row_store.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" "$source" "${objects[@]}" "${libraries[@]}" -o "$out/case-$(basename "$(dirname "$source")")" &
done
wait
for source in review/{6,7,8,9,10}/case.cpp; do
    [ ! -e "$source" ] || [ -x "$out/case-$(basename "$(dirname "$source")")" ]
done
