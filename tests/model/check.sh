#!/usr/bin/env bash
# Checks the two models of the consensus core, and that the fault of each mutant is found. Exit code 1: some result is
# not as expected. The argument "long" selects wide bounds (minutes).
#
# core.pml, with Spin: three members and a spare, one backup, elections with one step per vote.
# core_search.cpp, a purpose-built search: five members, two losses, several backups, lost disks, changes of members
# and of backups, and whether a primary can be elected in every state. See docs/design/model.md.
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
  local output errors
  output="$(cd "$work/$name" && ./pan -E $arguments)"
  errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$output")"
  echo "$name: $(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$output" | head -1) states, errors: $errors"
  if [ "$expected" = holds ]; then [ "$errors" = 0 ]; else [ "${errors:-0}" != 0 ]; fi
}

failed=0
check() { run "$@" || { echo "NOT AS EXPECTED: $1 ($2)"; failed=1; }; }
exact="-DCOLLAPSE -DNOFAIR" bounded="-DBITSTATE -DNOFAIR"
depth=60 bits=22
[ "${1:-}" = long ] && depth=100 bits=27
check three holds "$exact" "-m200000 -w22" -DCHANGES=2 -DSTEPS=0
check three-with-backup-changes holds "$bounded" "-m$depth -w$bits" -DCHANGES=1 -DSTEPS=1
check four holds "$bounded" "-m$depth -w$bits" -DNODES=4 -DCHANGES=1 -DSTEPS=2
check state-not-compared fails "$exact" "-m200000 -w22" -DCHANGES=1 -DSTEPS=0 -DMUTANT=2
check empty-disk-votes fails "$exact" "-m200000 -w22" -DCHANGES=1 -DSTEPS=0 -DMUTANT=3
check backup-ignores-vote fails "$exact" "-m200000 -w22" -DCHANGES=1 -DSTEPS=0 -DMUTANT=4
check disk-loss-not-reported fails "$exact" "-m200000 -w22" -DCHANGES=1 -DSTEPS=0 -DMUTANT=6

# search NAME EXPECTED BOUNDS...; bounded: no violation within the given time, even if not all states are visited
g++ -std=c++20 -O2 -Wall -Wextra -Werror -pthread "$here/core_search.cpp" "$here/model_rules.cpp" -o "$work/core_search" ||
  failed=1
threads=2 seconds=120 table_bits=23
[ "${1:-}" = long ] && threads=3 seconds=600 table_bits=27
search() {
  local name="$1" expected="$2"
  shift 2
  echo "$name: $*"
  "$work/core_search" expect="$expected" threads="$threads" seconds="$seconds" bits="$table_bits" "$@" && return
  echo "NOT AS EXPECTED: $name ($expected)"
  failed=1
}
three="members=3 losses=1" five="members=5 losses=2"
search three-members holds $three terms=3 steps=1 changes=1 disk-losses=1
search three-and-a-spare holds $three spares=1 terms=2 steps=2 backup-changes=1 replacements=1 changes=1 disk-losses=1
search three-from-bootstrap holds $three terms=2 steps=1 changes=1 disk-losses=1 established=0
search three-grow-to-four holds members=3 losses=2 spares=1 terms=2 steps=2 backup-changes=0 replacements=1 changes=1 disk-losses=1
search five-members holds $five terms=3 steps=0 changes=1
search five-two-disks-lost holds $five terms=2 steps=0 changes=1 disk-losses=2
search five-with-a-backup-change holds $five terms=2 steps=1 backup-changes=1 changes=1
search five-and-a-spare holds $five spares=1 terms=2 steps=2 backup-changes=0 replacements=1 changes=1
if [ "${1:-}" = long ]; then
  search three-members-long bounded $three terms=3 steps=1 changes=2 disk-losses=1 unwon-votes=1
  search three-and-a-spare-long bounded $three spares=1 terms=2 steps=3 changes=2 disk-losses=1
  search three-grow-to-five-long bounded members=3 losses=2 spares=2 terms=2 steps=3 backup-changes=1 changes=1 disk-losses=1
  search five-members-long bounded $five terms=3 steps=0 changes=1 disk-losses=1
  search five-with-a-backup-change-long bounded $five terms=2 steps=1 backup-changes=1 changes=1 disk-losses=1
  search five-with-backup-changes-long bounded $five terms=3 steps=1 backup-changes=1 changes=1
  search five-and-a-spare-long bounded $five spares=1 terms=2 steps=3 backup-changes=1 replacements=1 changes=1 disk-losses=1
fi

plain="$three terms=3 steps=1 changes=2 disk-losses=1" changed="$three spares=1 terms=2 steps=3 changes=2"
search old-quorum-suffices breaks $changed mutant=old-quorum-suffices
search old-quorum-suffices-unsafe breaks $changed mutant=old-quorum-suffices electability=0
search new-quorum-suffices breaks $changed mutant=new-quorum-suffices
search own-record-quorum breaks $changed mutant=own-record-quorum
search single-record-change breaks $changed mutant=single-record-change
search observer-does-not-vote breaks $changed mutant=observer-does-not-vote
search state-not-compared breaks $plain mutant=state-not-compared
search empty-disk-votes breaks $plain mutant=empty-disk-votes
search backup-ignores-vote breaks $plain mutant=backup-ignores-vote
search disk-loss-not-reported breaks $plain mutant=disk-loss-not-reported
search stale-heartbeat breaks $plain mutant=stale-heartbeat
search previous-is-newest-record breaks $five terms=3 steps=0 changes=1 mutant=previous-is-newest-record
search previous-is-own-data breaks $five terms=3 steps=0 changes=1 mutant=previous-is-own-data
search undecided-dropped breaks $five terms=3 steps=0 changes=1 mutant=undecided-dropped
search backup-change-skips-check breaks $five terms=2 steps=1 changes=1 mutant=backup-change-skips-check
search unresponsive-not-lost breaks $five terms=2 steps=1 backup-changes=1 changes=1 mutant=unresponsive-not-lost
exit $failed
