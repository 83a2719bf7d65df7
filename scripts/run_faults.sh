#!/usr/bin/env bash
# Runs seeded fault schedules against real processes, several at a time.
# SEEDS: number of schedules; SEED_BASE: first seed; SEED: runs only this seed; FAULT_JOBS: number of parallel runs.
set -uo pipefail
cd "$(dirname "$0")/.."
binary=.build/release/bin/faults_test
filter=--gtest_filter=fault_schedule_test.*
log=.build/release/faults
mkdir -p "$log"
if [ -n "${SEED:-}" ]; then
    FAULT_SEED=$SEED exec "$binary" "$filter"
fi
base=${SEED_BASE:-1}
last=$((base + ${SEEDS:-10} - 1))
export binary filter log
run_one() { FAULT_SEED=$1 "$binary" "$filter" >"$log/$1.out" 2>&1; }
export -f run_one
seq "$base" "$last" | xargs -P "${FAULT_JOBS:-8}" -I{} bash -c 'run_one {}'
failed=$?
for seed in $(seq "$base" "$last"); do
    grep -hE '^seed [0-9]+: |^  [a-z]' "$log/$seed.out" || { echo "seed $seed: no report"; failed=1; }
done | sort -V -t' ' -k2
awk '/^seed [0-9]+: /{n++; for (i=1;i<=NF;i++) {if ($i=="sends") s+=$(i+1); if ($i=="run") r+=$(i+1); if ($i=="unknown") u+=$(i+1); if ($i=="violations") v+=$(i+1)}}
     END {printf "%d schedules, %d sends, %d answers \"not run\", %d outcome_unknown, %d violations\n", n, s, r, u, v}' \
    $(seq -f "$log/%g.out" "$base" "$last")
exit "$failed"
