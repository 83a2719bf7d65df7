#!/usr/bin/env bash
# Runs all tests of the build folder $1, $2 at a time. The tests that KNOWN-RED.txt lists ("test: NAME") run first: their
# outcome is printed and does not affect the exit status. The other tests determine it. Ends with ctest's closing lines.
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
jobs=$2
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' -)

if [ -z "$known_red" ]; then
    exec ctest --test-dir "$build" --output-on-failure -j "$jobs"
fi
pattern="^(${known_red//./\\.})\$"
echo "Known red, see KNOWN-RED.txt; listed ones that pass are to be taken off the list:"
ctest --test-dir "$build" -R "$pattern" --no-tests=error || echo "(failures above are the known ones)"
ctest --test-dir "$build" --output-on-failure -j "$jobs" -E "$pattern"
