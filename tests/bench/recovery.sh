#!/usr/bin/env bash
# Recovery after a day's closing fault, as a table: bash tests/bench/recovery.sh FLEETBENCH SITE [DAY...]
# Without a DAY, six are made: each closing fault, with the seeds of the start and with other ones named at a random hour.
# Seconds from the first start of a process after the fault: until a primary leads, until the last gatekeeper that
# started has a configuration in force (-1: none had to); and from the fault until the first window of 2 s with any request, 25 of 100 and 90 of 100
# served. LILACMUX: the program, target/lilacmux if not set.
set -euo pipefail
bench=$1 site=$2
shift 2
program=${LILACMUX:-target/lilacmux}
days=("$@")
if ((${#days[@]} == 0)); then
  folder=$(mktemp -d)
  trap 'rm -rf "$folder"' EXIT
  for seeds in same other; do
    always=()
    if [ "$seeds" = other ]; then always=(--always seed_turnover); fi
    made=$("$program" experiment days "$site" "$folder" --fewest 0 --most 0 --closing 0 --seed 1 "${always[@]}")
    for closing in power_off_all kill_all wipe_after_ack; do
      day="$folder/$seeds-$closing.toml"
      { cat "$made"; echo "closing = { kind = \"$closing\", down_s = 1.0 }"; } >"$day"
      days+=("$day")
    done
  done
fi
printf '%-24s %-16s %6s %6s %8s %8s %6s %6s %6s\n' day fault at_s start primary in_force any 25 90
for day in "${days[@]}"; do
  name=$(basename "$day" .toml)
  "$bench" run "$site" "$day" --log all --why "Recovery after the closing fault of $name" 2>&1 | awk -v day="$name" '
    / closing \(/ && !fault { at = $1; match($0, /closing \([a-z_ ]*\)/); fault = substr($0, RSTART + 9, RLENGTH - 10) }
    /info started/ { starts[++s] = $1 }
    /primary in epoch/ { leads[++l] = $1 }
    /is in force/ { force[++f] = $1 }
    /^from second/ { windows = 1; next }
    windows && /^[0-9]/ { w++; from[w] = $1; asked[w] = $2; ok[w] = $3 + $4 }
    windows && !/^[0-9]/ { windows = 0 }
    function since(share,   i) {
      for (i = 1; i <= w; i++)
        if (from[i] > at && asked[i] > 0 && ok[i] > 0 && ok[i] / asked[i] >= share) return from[i] - at
      return -1
    }
    END {
      if (!fault) { printf "%-24s no closing fault, or not played to its end\n", day; exit }
      start = lead = last = -1
      for (i = 1; i <= s; i++) if (starts[i] > at && (start < 0 || starts[i] < start)) start = starts[i]
      for (i = 1; i <= l; i++) if (leads[i] > at && (lead < 0 || leads[i] < lead)) lead = leads[i]
      for (i = 1; i <= f; i++) if (force[i] > at && force[i] < at + 15 && force[i] > last) last = force[i]
      printf "%-24s %-16s %6.2f %6.2f %8.2f %8.2f %6.1f %6.1f %6.1f\n", day, fault, at, start - at, lead < 0 ? -1 : lead - start, last < 0 ? -1 : last - start, since(0), since(0.25), since(0.9)
    }'
done
