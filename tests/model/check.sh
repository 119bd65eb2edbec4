#!/usr/bin/env bash
# Checks the two models of the core, and that what each mutant breaks is found. Exit code 1: one of these is not so.
# With "long" the bounds are wide (minutes).
#
# core.pml, with Spin: three members and a spare, one backup, ballots vote by vote.
# core_search.cpp, a search of its own: five members, two losses, several backups, lost disks, changes of members
# and of backups, and whether a primary can be chosen in every state. See docs/design/model.md.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
model="$here/core.pml"
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

# search NAME EXPECTED BOUNDS...; bounded: nothing breaks in the time given, be all states visited or not
g++ -std=c++20 -O2 -Wall -Wextra -Werror -pthread "$here/core_search.cpp" "$here/model_rules.cpp" -o "$work/core_search" ||
  failed=1
threads=2 seconds=120 places=23
[ "${1:-}" = long ] && threads=3 seconds=600 places=27
search() {
  local name="$1" expected="$2"
  shift 2
  echo "$name: $*"
  "$work/core_search" expect="$expected" threads="$threads" seconds="$seconds" bits="$places" "$@" && return
  echo "NOT AS EXPECTED: $name ($expected)"
  failed=1
}
three="members=3 losses=1" five="members=5 losses=2"
search three-members holds $three rounds=3 places=1 changes=1 wipes=1
search three-and-a-spare holds $three spares=1 rounds=2 places=2 renewals=1 replacements=1 changes=1 wipes=1
search three-from-the-start holds $three rounds=2 places=1 changes=1 wipes=1 rest=0
search three-grow-to-four holds members=3 losses=2 spares=1 rounds=2 places=2 renewals=0 replacements=1 changes=1 wipes=1
search five-members holds $five rounds=3 places=0 changes=1
search five-two-disks-lost holds $five rounds=2 places=0 changes=1 wipes=2
search five-with-a-renewal holds $five rounds=2 places=1 renewals=1 changes=1
search five-and-a-spare holds $five spares=1 rounds=2 places=2 renewals=0 replacements=1 changes=1
if [ "${1:-}" = long ]; then
  search three-members-long bounded $three rounds=3 places=1 changes=2 wipes=1 promises=1
  search three-and-a-spare-long bounded $three spares=1 rounds=2 places=3 changes=2 wipes=1
  search three-grow-to-five-long bounded members=3 losses=2 spares=2 rounds=2 places=3 renewals=1 changes=1 wipes=1
  search five-members-long bounded $five rounds=3 places=0 changes=1 wipes=1
  search five-with-a-renewal-long bounded $five rounds=2 places=1 renewals=1 changes=1 wipes=1
  search five-with-renewals-long bounded $five rounds=3 places=1 renewals=1 changes=1
  search five-and-a-spare-long bounded $five spares=1 rounds=2 places=3 renewals=1 replacements=1 changes=1 wipes=1
fi

plain="$three rounds=3 places=1 changes=2 wipes=1" changed="$three spares=1 rounds=2 places=3 changes=2"
search old-members-decide breaks $changed mutant=old-members-decide
search old-members-decide-unsafe breaks $changed mutant=old-members-decide choice=0
search new-members-decide breaks $changed mutant=new-members-decide
search own-members-decide breaks $changed mutant=own-members-decide
search one-step-change breaks $changed mutant=one-step-change
search observer-refuses breaks $changed mutant=observer-refuses
search state-not-weighed breaks $plain mutant=state-not-weighed
search empty-disk-votes breaks $plain mutant=empty-disk-votes
search backup-breaks-promise breaks $plain mutant=backup-breaks-promise
search lost-disk-not-told breaks $plain mutant=lost-disk-not-told
search stale-heartbeat breaks $plain mutant=stale-heartbeat
search base-is-newest-record breaks $five rounds=3 places=0 changes=1 mutant=base-is-newest-record
search base-is-own-data breaks $five rounds=3 places=0 changes=1 mutant=base-is-own-data
search no-doubt-kept breaks $five rounds=3 places=0 changes=1 mutant=no-doubt-kept
search renewal-not-weighed breaks $five rounds=2 places=1 changes=1 mutant=renewal-not-weighed
search silent-not-lost breaks $five rounds=2 places=1 renewals=1 changes=1 mutant=silent-not-lost
exit $failed
