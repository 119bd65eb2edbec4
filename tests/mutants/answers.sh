#!/bin/sh
# Puts known faults into a scratch copy of the program, one at a time, and sees whether the tests of answers
# and tries find each. Fails if one is not found, or if a patch no longer applies. Takes minutes: run by hand.
#
# usage: tests/mutants/answers.sh [SCRATCH]    (kept, so that the next run builds less)
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
scratch=${1:-$(mktemp -d)}
jobs=${JOBS:-4}
mkdir -p "$scratch/source"

# What differs is copied with a time of now, so that it is built again.
restore() {
  (cd "$root" && find CMakeLists.txt include src tests deploy -type f) | while read -r file; do
    cmp -s "$root/$file" "$scratch/source/$file" && continue
    mkdir -p "$(dirname "$scratch/source/$file")"
    cp "$root/$file" "$scratch/source/$file"
  done
}
build() {
  cmake --build "$scratch/build" -j"$jobs" --target gateway_tests > "$scratch/build.log" 2>&1 || {
    tail -20 "$scratch/build.log"
    echo "does not build: $1"
    exit 1
  }
}
# Tests that are known to be red find no fault.
known_red=$(sed -n 's/^test: //p' "$root/KNOWN-RED.txt" | paste -sd:)
passes() { "$scratch/build/tests/gateway_tests" --gtest_filter="-$known_red" > "$scratch/$1.log" 2>&1; }

restore
cmake -S "$scratch/source" -B "$scratch/build" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DLILACMUX_TESTS=ON \
  > "$scratch/configure.log"
build "the program itself"
passes unchanged || { echo "the tests fail without a fault"; exit 1; }

missed=0
for patch in "$root"/tests/mutants/answers/*.patch; do
  name=$(basename "$patch" .patch)
  patch -s -p1 -d "$scratch/source" < "$patch" || { echo "no longer applies: $name"; exit 1; }
  build "$name"
  if passes "$name"; then
    echo "MISSED  $name"
    missed=$((missed + 1))
  else
    echo "found   $name: $(grep -c '^\[  FAILED  \].*ms)' "$scratch/$name.log" || true) tests"
  fi
  restore
done
[ "$missed" -eq 0 ]
