#!/usr/bin/env bash
# Recovery after a day's closing fault, as a table: bash tests/bench/recovery.sh FLEETBENCH SITE DAY [DAY...]
# Seconds from the first start of a process after the fault: until a primary leads, until the last gatekeeper that
# started has a configuration in force, and from the fault until the first window of 2 s with 90 of 100 served.
set -euo pipefail
bench=$1 site=$2
shift 2
printf '%-12s %-26s %8s %8s %8s %8s %8s\n' day fault at_s start_s primary in_force served90
for day in "$@"; do
  "$bench" run "$site" "$day" --log all --why "Recovery after the closing fault of $day" 2>&1 | awk -v day="$day" '
    / closing \(/ && !fault { at = $1; match($0, /closing \([a-z_ ]*\)/); fault = substr($0, RSTART + 9, RLENGTH - 10) }
    /info started/ { starts[++s] = $1 }
    /primary in epoch/ { leads[++l] = $1 }
    /is in force/ { force[++f] = $1 }
    /^from second/ { windows = 1; next }
    windows && /^[0-9]/ { w++; from[w] = $1; asked[w] = $2; ok[w] = $3 + $4 }
    windows && !/^[0-9]/ { windows = 0 }
    END {
      if (!fault) { printf "%-12s no closing fault\n", day; exit }
      start = lead = last = served = -1
      for (i = 1; i <= s; i++) if (starts[i] > at && (start < 0 || starts[i] < start)) start = starts[i]
      for (i = 1; i <= l; i++) if (leads[i] > at && (lead < 0 || leads[i] < lead)) lead = leads[i]
      for (i = 1; i <= f; i++) if (force[i] > at && force[i] < at + 15 && force[i] > last) last = force[i]
      for (i = 1; i <= w; i++) if (from[i] > at && served < 0 && asked[i] > 0 && ok[i] / asked[i] >= 0.9) served = from[i]
      printf "%-12s %-26s %8.2f %8.2f %8.2f %8.2f %8.1f\n", day, fault, at, start - at, lead - start, last - start, served - at
    }'
done
