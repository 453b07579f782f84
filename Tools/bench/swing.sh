#!/usr/bin/env bash
# Measures goodput while demand is eight times as high for three seconds, with
# the admission lanes and with the plain queue: swing.sh [RUNS]. One near node
# and two far nodes, with 6 and 9 slots; a call works 5 ms. Calls of
# the kind short have 500 ms, those of the kind tight 100 ms.
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
source Tools/bench/mesh.sh
trap 'stop_all; rm -rf "$Run"' EXIT
Runs=${1:-3}
BaseRate=${BASE_RATE:-550}

# Prints goodput in the swing as a share of capacity, and when it was normal.
judge() { # CSV CAPACITY
  awk -F, -v Capacity="$2" -v Base="$BaseRate" '
    NR == 1 { next }
    $1 >= 3000 && $1 < 6000 {
      Sum += $3; ++Count
      if (Least == "" || $3 < Least) Least = $3
      Second += $3
      if (Count % 10 == 0) {
        if (LeastSecond == "" || Second < LeastSecond) LeastSecond = Second
        Second = 0
      }
    }
    # Normal again: half a second of windows with 90% of what is due.
    $1 >= 6000 && !Normal {
      Good = ($3 >= 0.9 * $2) ? Good + 1 : 0
      if (Good == 5) Normal = $1 - 6000 - 400 + 1
    }
    END {
      printf "goodput %.0f/s, %.0f%% of capacity, ",
        Sum * 10 / Count, 1000 * Sum / Count / Capacity
      printf "least second %.0f%%, least 100 ms %.0f%%, ",
        100 * LeastSecond / Capacity, 1000 * Least / Capacity
      if (Normal) printf "normal after %d ms\n", Normal - 1
      else print "not normal again"
    }' "$1"
}

for Order in lanes fifo; do
  for Number in $(seq "$Runs"); do
    start_mesh "$Order" 6 9
    for Kind in short tight; do
      # Just before each swing, as other load of the machine changes it.
      Capacity=$("$Bin/zinnia-load" --target "$Near" --path /short/a \
        --tasks 3 --closed 45 --length 3s --id-prefix "c-$Kind" |
        sed -n 's/^rate //p')
      "$Bin/zinnia-load" --target "$Near" --path "/$Kind/a" --tasks 3 \
        --rate "$BaseRate" --swing 8@3s+3s --length 10s --limit 2s \
        --id-prefix "$Kind" --seed "$Number" --csv "$Run/$Kind.csv" \
        >"$Run/$Kind.txt"
      echo "$Order $Kind run $Number: capacity $Capacity/s," \
        "due $((BaseRate * 8))/s: $(judge "$Run/$Kind.csv" "$Capacity")"
      grep -E '^(result|unanswered|p50|p99-)' "$Run/$Kind.txt" | paste -sd' '
      [ -z "${KEEP_CSV:-}" ] ||
        cp "$Run/$Kind.csv" "$KEEP_CSV-$Order-$Kind-$Number.csv"
    done
    stop_all
  done
done
