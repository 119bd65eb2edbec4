#!/usr/bin/env bash
# Plays drawn days and looks for broken rules: bash tests/bench/hunt_days.sh FLEETBENCH SITE FOLDER SEED COUNT [PARALLEL]
# FOLDER takes the days, what the bench printed of each, and summary.txt. A day that breaks a rule is played again with one
# trouble after another left out, and the least set that still breaks one is kept as NAME.least.toml. Further arguments of
# `lilacmux experiment days` may stand in DAY_OPTIONS. LILACMUX: the program, target/lilacmux if not set.
set -euo pipefail
bench=$1 site=$2 folder=$3 seed=$4 count=$5 parallel=${6:-3}
program=${LILACMUX:-target/lilacmux}
mkdir -p "$folder"
"$bench" build >"$folder/build.txt" 2>&1
"$bench" kinds "$site" >"$folder/kinds.txt"
# shellcheck disable=SC2086
"$program" experiment days "$site" "$folder" --kinds "$folder/kinds.txt" --seed "$seed" --count "$count" ${DAY_OPTIONS:-} >"$folder/days.txt"

play() {  # DAY.toml LOG WHY
  timeout 1200 "$bench" run "$site" "$1" --jobs 2 --why "$3" >"$2" 2>&1 || true
}
# A rule is broken, or the program has failed.
broken() { grep -q 'BROKEN' "$1"; }
export -f play
export bench site
xargs -P "$parallel" -I{} bash -c 'play "$1" "${1%.toml}.log" "Drawn days, a hunt for broken rules"' _ {} <"$folder/days.txt"

# Leaves out one line of plan, faults or closing after another for as long as a rule is still broken.
shrink() {  # DAY.toml
  local least=${1%.toml}.least.toml trial=${1%.toml}.trial.toml log=${1%.toml}.trial.log line
  cp "$1" "$least"
  line=$(wc -l <"$least")
  while [ "$line" -gt 0 ]; do
    if sed -n "${line}p" "$least" | grep -qE '^(  \{ at = |closing = )'; then
      sed "${line}d" "$least" >"$trial"
      play "$trial" "$log" "Drawn days: the least set of troubles that breaks a rule"
      if broken "$log"; then cp "$trial" "$least"; fi
    fi
    line=$((line - 1))
  done
  rm -f "$trial" "$log"
}

: >"$folder/summary.txt"
while read -r day; do
  log=${day%.toml}.log
  if ! grep -qE '^drawn-' "$log"; then
    echo "$(basename "$day" .toml): not played to its end" >>"$folder/summary.txt"
  elif broken "$log"; then
    shrink "$day"
    { echo "$(basename "$day" .toml): $(grep -m1 '^rules broken' "$log" || grep -m1 -o 'BROKEN.*' "$log")"
      grep -E '^  \{ at|^closing' "${day%.toml}.least.toml"; } >>"$folder/summary.txt"
  fi
done <"$folder/days.txt"
echo "$count days from seed $seed on, $(grep -c '^drawn-' "$folder/summary.txt" || true) broken or not ended" | tee -a "$folder/summary.txt"
