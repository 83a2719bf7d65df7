#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case_program=target/review/case-2
[ -x "$case_program" ] && [ -x target/bin/pomelohoist-platform-entry ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 5 110 "$case_program" review/2
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
