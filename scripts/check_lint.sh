#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over the files that are given as arguments, several at a time.
# Results are cached under .build/lint by a digest of the file, the headers of the project and the settings.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${LINT_JOBS:-$(nproc)}
build=.build/release
cache=.build/lint
mkdir -p "$cache"

headers_digest=$(git ls-files -z --cached --others --exclude-standard '*.h' .clang-tidy | xargs -0 sha256sum | sha256sum | cut -c1-16)
export build cache headers_digest

check_one() {
    local digest
    digest=$(sha256sum "$1" | cut -c1-16)
    local mark="$cache/$headers_digest-$digest"
    [ -e "$mark" ] && return 0
    if clang-tidy --quiet -p "$build" "$1" >"$mark.out" 2>/dev/null; then
        mv "$mark.out" "$mark"
    else
        cat "$mark.out"
        rm -f "$mark.out"
        return 1
    fi
}
export -f check_one

if [ $# -gt 0 ]; then
    printf '%s\0' "$@"
else
    git ls-files -z --cached --others --exclude-standard '*.cpp'
fi | xargs -0 -r -n 1 -P "$jobs" bash -c 'check_one "$1"' check_one
