#!/usr/bin/env bash
# Measures goodput while demand is eight times as high for three seconds.
# Compares admission with lanes and with a plain FIFO queue on one caller-side
# node and two server-side nodes whose backend servers have 6 and 9 slots. A
# call takes 5 ms. Calls of the kind short have a deadline of 500 ms, those of
# the kind tight one of 100 ms. BASE_RATE sets the calls per second before and
# after the swing, and KEEP_CSV is a path prefix under which the time series are
# kept.
# Usage: Tools/bench/swing.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
source Tools/bench/mesh.sh
trap 'stop_all; rm -rf "$Run"' EXIT
Runs=${1:-3}
BaseRate=${BASE_RATE:-550}

# Prints goodput during the swing as a share of capacity, and the time that it
# took to recover afterwards.
summarize_goodput() { # CSV CAPACITY
  awk -F, -v Capacity="$2" -v Base="$BaseRate" '
    NR == 1 { next }
    $1 >= 3000 && $1 < 6000 {
      Sum += $3; ++Count
      if (Min == "" || $3 < Min) Min = $3
      SecondSum += $3
      if (Count % 10 == 0) {
        if (MinSecond == "" || SecondSum < MinSecond) MinSecond = SecondSum
        SecondSum = 0
      }
    }
    # Recovered when at least 90% of the demand is served in five consecutive
    # windows of 100 ms.
    $1 >= 6000 && !Recovered {
      GoodWindows = ($3 >= 0.9 * $2) ? GoodWindows + 1 : 0
      if (GoodWindows == 5) Recovered = $1 - 6000 - 400 + 1
    }
    END {
      printf "goodput %.0f/s, %.0f%% of capacity, ",
        Sum * 10 / Count, 1000 * Sum / Count / Capacity
      printf "lowest second %.0f%%, lowest 100 ms %.0f%%, ",
        100 * MinSecond / Capacity, 1000 * Min / Capacity
      if (Recovered) printf "recovered after %d ms\n", Recovered - 1
      else print "not recovered"
    }' "$1"
}

for Admission in lanes fifo; do
  for RunNumber in $(seq "$Runs"); do
    start_mesh "$Admission" 6 9
    for Kind in short tight; do
      # Measured just before each swing, because other load on the machine changes
      # the capacity.
      Capacity=$("$Bin/zinnia-load" --target "$CallerNode" --path /short/a \
        --tasks 3 --closed 45 --length 3s --id-prefix "c-$Kind" |
        sed -n 's/^rate //p')
      "$Bin/zinnia-load" --target "$CallerNode" --path "/$Kind/a" --tasks 3 \
        --rate "$BaseRate" --swing 8@3s+3s --length 10s --limit 2s \
        --id-prefix "$Kind" --seed "$RunNumber" --csv "$Run/$Kind.csv" \
        >"$Run/$Kind.txt"
      echo "$Admission $Kind run $RunNumber: capacity $Capacity/s," \
        "demand $((BaseRate * 8))/s:" \
        "$(summarize_goodput "$Run/$Kind.csv" "$Capacity")"
      grep -E '^(result|unanswered|p50|p99-)' "$Run/$Kind.txt" | paste -sd' '
      [ -z "${KEEP_CSV:-}" ] ||
        cp "$Run/$Kind.csv" "$KEEP_CSV-$Admission-$Kind-$RunNumber.csv"
    done
    stop_all
  done
done
