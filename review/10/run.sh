#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/pomelohoist-platform-entry ] && [ -x target/review-2/case-10 ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# timeout puts the case and all that it starts into one process group, of which nothing is left at the end.
timeout -s KILL 115 target/review-2/case-10 &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' HUP INT TERM
wait "$group"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
