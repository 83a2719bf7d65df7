#!/usr/bin/env bash
# Checks the Promela specifications in models/ with Spin. Each line of the table below is one run: the specification,
# "holds" or "refuted", and the preprocessor options. A faulty variant that is not refuted fails the check, because a
# property that no fault can violate proves nothing.
set -euo pipefail
cd "$(dirname "$0")/.."

work=.build/models
jobs=${MODEL_JOBS:-4}
mkdir -p "$work"
export work

runs='tickets holds
tickets refuted -DRETRY_WITHOUT_CANCEL
tickets refuted -DIGNORE_INCARNATION
tickets refuted -DNO_READ_BACK
tickets refuted -DBLIND_TAKE_OVER
tickets refuted -DNOT_RUN_ON_TIMEOUT
tickets refuted -DCANCEL_FORGOTTEN
configuration holds
configuration refuted -DVERSION_NOT_COMPARED
configuration refuted -DCOMMIT_WITHOUT_COMPARE
configuration refuted -DCHANGE_ID_IGNORED
configuration refuted -DBASE_IGNORED
configuration refuted -DSERVE_BEFORE_CONFIGURATION
map_switch holds -DRESTARTS=1
map_switch holds -DRESTARTS=2
map_switch refuted -DCOMMIT_ON_MAJORITY
map_switch refuted -DRESTART_FORGETS
map_switch refuted -DBALLOT_IGNORED
map_switch refuted -DPROMISE_IGNORED
map_switch refuted -DPROPOSAL_KEPT
map_switch refuted -DBALLOT_NOT_READ
ordered_switch holds
ordered_switch refuted -DNO_HOLD
ordered_switch refuted -DGO_EARLY
ordered_switch refuted -DARM_ASSUMED
ordered_switch refuted -DHOLD_ASSUMED
ordered_switch refuted -DRELEASE_PREPARED
ordered_switch refuted -DREAD_BEFORE_FENCE
ordered_switch refuted -DEPOCH_IGNORED
ordered_switch refuted -DKEEP_PREPARED
ordered_switch refuted -DOTHER_FIRST'

check_one() {
    local model=$1 expected=$2 option=${3:-}
    local folder="$work/$model$option"
    local source="$PWD/models/$model.pml"
    rm -rf "$folder" && mkdir -p "$folder" && cd "$folder"
    spin -a $option "$source" >spin.out
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=4000 -o pan pan.c
    ./pan -m200000 -E >pan.out
    local states verdict=unfinished
    states=$(awk '/states, stored/ {print $1}' pan.out)
    # A run that did not search the complete state space proves nothing.
    if grep -q 'assertion violated' pan.out; then
        verdict=refuted
    elif grep -q 'errors: 0' pan.out && ! grep -qE 'Search not completed|max search depth too small' pan.out; then
        verdict=holds
    fi
    printf '%-14s %-28s %-10s %10s states\n' "$model" "${option:-correct}" "$verdict" "$states"
    [ "$verdict" = "$expected" ] || { echo "expected: $expected"; return 1; }
}
export -f check_one

printf '%s\n' "$runs" | xargs -P "$jobs" -L 1 bash -c 'set -euo pipefail; check_one "$@"' check_one
