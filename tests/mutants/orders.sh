#!/usr/bin/env bash
# Breaks the decision on operators' changes in one way after the other, on a copy of the sources, and wants
# each broken copy to be found by operator_storms, and the unbroken one not.
#   orders.sh [SEEDS] [JOBS]
set -euo pipefail
cd "$(dirname "$0")/../.."
seeds=${1:-600}
jobs=${2:-$(nproc)}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir "$copy/objects"

sources=(src/consensus/{accepted_changes,digest}.cpp src/control/configuration_{register,service}.cpp
  src/net/json_text.cpp src/settings/{configuration,host_name}.cpp tests/control/operator_fault_injection.cpp)
# The replica, into however many files it is divided: all of the directory that needs no socket or disk.
for source in src/consensus/*.cpp; do
  case $source in */accepted_changes.cpp | */digest.cpp | */member_message_codec.cpp | */state_store.cpp) ;; *) sources+=("$source") ;; esac
done

objectOf() { echo "$copy/objects/$(echo "$1" | tr / _).o"; }

compile() {
  ${CMAKE_CXX_COMPILER_LAUNCHER:-} g++ -std=c++20 -O1 -ffp-contract=off -MMD -I"$copy/src" \
    -I"$copy/tests/control" -c "$copy/$1" -o "$(objectOf "$1")"
}
export -f compile objectOf
export copy CMAKE_CXX_COMPILER_LAUNCHER=${CMAKE_CXX_COMPILER_LAUNCHER:-}

restore() {
  rm -rf "$copy/src" "$copy/tests"
  mkdir -p "$copy/tests"
  cp -a src "$copy/src"
  cp -a tests/control "$copy/tests/control"
}

# Compiles those that depend on the file that was changed (all, if none is named), and links.
build() {
  local changed=${1:-} source
  for source in "${sources[@]}"; do
    local dependencies
    dependencies=$(objectOf "$source")
    dependencies=${dependencies%.o}.d
    if [ -z "$changed" ] || grep -q "/$changed" "$dependencies"; then echo "$source"; fi
  done | xargs -r -P"$jobs" -I{} bash -c 'compile {}'
  g++ "$copy"/objects/*.o -lcrypto -lxxhash -lzstd -lpthread -o "$copy/storms"
}

restore
build
echo "unbroken: $("$copy/storms" 0 "$seeds" "$jobs")"

missed=0
# mutant NAME FILE EXPRESSION: the sed expression must change the file.
mutant() {
  local name=$1 file=$2 expression=$3
  sed -i -E "$expression" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    echo "$name: the expression no longer fits $file"
    exit 2
  fi
  build "$file"
  local said code=0
  said=$("$copy/storms" 0 "$seeds" "$jobs" 2>&1) || code=$?
  if [ "$code" = 1 ]; then
    echo "found: $name ($(echo "$said" | head -1 | cut -d: -f1))"
  else
    echo "MISSED: $name (exit code $code)"
    missed=$((missed + 1))
  fi
  restore
  build "$file"
}

register=src/control/configuration_register.cpp
service=src/control/configuration_service.cpp
accepted=src/consensus/accepted_changes.cpp

mutant "refuses what may have been accepted and forgotten" $register \
  's/if \(committed\.accepted\.mayHaveCompacted\(revision\)\)/if (false)/'
mutant "does not recognise what was accepted" $register \
  's/if \(committed\.accepted\.contains\(digest\)\)/if (false)/'
mutant "tells bodies apart by eight bits of their digest" $accepted \
  's/return entry\.digest == digest;/return entry.digest[0] == digest[0];/'
mutant "tells bodies apart by their revision" $register \
  '/contains\(digest\)/d; s/^  if \(revision <= request\.baseRevision\)/  for (const auto\& entry : committed.accepted.entries())\n    if (entry.revision == revision) return AlreadyAccepted{};\n&/'
mutant "takes a change on any version" $register \
  's/if \(request\.baseRevision < committed\.revision\)/if (revision <= committed.revision)/; s/if \(request\.baseRevision > committed\.revision\)/if (false)/'
mutant "refuses what builds on a version that may still come" $register \
  's/if \(request\.baseRevision > committed\.revision\)/if (request.baseRevision > committed.revision) return Conflict{committed.revision};\n  if (false)/'
mutant "serves without a lease" src/consensus/replica.hpp \
  's/return primary_ && committed_ && now < leaseUntil\(now\)/(void)now; return primary_ \&\& committed_/'
mutant "decides while another change is under way" $service \
  's/!proposal_ && replica\.canPropose\(now\)/replica.hasLease(now)/'
mutant "confirms what is proposed" $service \
  's/^  replica\.propose\(now, accept->next\);/&\n  onCommitted();/'
mutant "refuses what was open when primacy was lost" $service \
  's/result\{ChangeOutcome::unavailable, "the primary has changed"\}/result{ChangeOutcome::conflict, ""}/'
mutant "keeps what was open when primacy was lost until the next commit" $service \
  's/proposal = std::exchange\(proposal_, std::nullopt\);/proposal;/'

[ "$missed" = 0 ]
