#!/usr/bin/env bash
# Measures head-of-line blocking: the latency of short calls alone, and together
# with calls that take 100 times as long. Compares admission with lanes and with
# a plain FIFO queue on one caller-side node and two server-side nodes whose
# backend servers have 6 and 9 slots. SHORT_RATE and LONG_RATE set the calls per
# second.
# Usage: Tools/bench/head-of-line.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
source Tools/bench/mesh.sh
trap 'stop_all; rm -rf "$Run"' EXIT
Runs=${1:-3}
ShortRate=${SHORT_RATE:-400}
LongRate=${LONG_RATE:-16}
Mix=(--mix "/short/a work-us=5000 $ShortRate"
  --mix "/long/a work-us=500000 $LongRate")

# Prints a latency quantile of the short calls in microseconds.
quantile_of_short() { # FILE NAME
  sed -nE "s/^class \/short.* $2 ([0-9]+).*/\1/p" "$1"
}

for Admission in lanes fifo; do
  for RunNumber in $(seq "$Runs"); do
    start_mesh "$Admission" 6 9
    "$Bin/zinnia-load" --target "$CallerNode" --path /short/a \
      --query work-us=5000 \
      --rate "$ShortRate" --length 8s --warm-up 100 --id-prefix a \
      >"$Run/alone.txt"
    "$Bin/zinnia-load" --target "$CallerNode" "${Mix[@]}" \
      --rate $((ShortRate + LongRate)) --length 8s --limit 20s \
      --warm-up 100 --id-prefix m --seed "$RunNumber" >"$Run/mixed.txt"
    Alone=$(sed -n 's/^p99-us //p' "$Run/alone.txt")
    Mixed=$(quantile_of_short "$Run/mixed.txt" p99-us)
    echo "$Admission run $RunNumber: p99 of short calls alone $Alone us," \
      "with long ones $Mixed us, ratio" \
      "$(awk "BEGIN { printf \"%.2f\", $Mixed / $Alone }")"
    grep -E '^(result|unanswered|class)' "$Run/mixed.txt"
    stop_all
  done
done
