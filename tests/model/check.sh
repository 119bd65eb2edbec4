#!/usr/bin/env bash
# Checks the model of the core (core.pml): exhausted for three members where no primary changes its record,
# bounded where it does and for four with a spare; and that what each mutant breaks is found. Exit code 1: one of
# these is not so. With "long" the bounds are wide (minutes).
set -uo pipefail
model="$(cd "$(dirname "$0")" && pwd)/core.pml"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# run NAME EXPECTED PAN-BUILD PAN-ARGUMENTS MODEL-DEFINITIONS...
run() {
  local name="$1" expected="$2" build="$3" arguments="$4"
  shift 4
  mkdir "$work/$name"
  (cd "$work/$name" && spin -a "$@" "$model" >/dev/null && gcc -O2 -w -DSAFETY $build -o pan pan.c) || return 1
  local said errors
  said="$(cd "$work/$name" && ./pan -E $arguments)"
  errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$said")"
  echo "$name: $(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$said" | head -1) states, errors: $errors"
  if [ "$expected" = holds ]; then [ "$errors" = 0 ]; else [ "${errors:-0}" != 0 ]; fi
}

failed=0
check() { run "$@" || { echo "NOT AS EXPECTED: $1 ($2)"; failed=1; }; }
exact="-DCOLLAPSE -DNOFAIR" bounded="-DBITSTATE -DNOFAIR"
depth=60 bits=22
[ "${1:-}" = long ] && depth=100 bits=27
check three holds "$exact" "-m200000 -w22" -DCHANGES=2 -DPLACES=0
check three-renewed holds "$bounded" "-m$depth -w$bits" -DCHANGES=1 -DPLACES=1
check four holds "$bounded" "-m$depth -w$bits" -DNODES=4 -DCHANGES=1 -DPLACES=2
check state-not-weighed fails "$exact" "-m200000 -w22" -DCHANGES=1 -DPLACES=0 -DMUTANT=2
check empty-disk-votes fails "$exact" "-m200000 -w22" -DCHANGES=1 -DPLACES=0 -DMUTANT=3
check backup-breaks-promise fails "$exact" "-m200000 -w22" -DCHANGES=1 -DPLACES=0 -DMUTANT=4
check lost-disk-not-told fails "$exact" "-m200000 -w22" -DCHANGES=1 -DPLACES=0 -DMUTANT=6
exit $failed
