#!/usr/bin/env bash
# Measures the latency of short calls without and with calls that are 100 times
# longer, with the admission lanes and with the plain queue:
# head-of-line.sh [RUNS]. One near node and two far nodes, with 6 and 9 slots.
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

quantile_of_short() { # FILE NAME
  sed -nE "s/^class \/short.* $2 ([0-9]+).*/\1/p" "$1"
}

for Order in lanes fifo; do
  for Number in $(seq "$Runs"); do
    start_mesh "$Order" 6 9
    "$Bin/zinnia-load" --target "$Near" --path /short/a --query work-us=5000 \
      --rate "$ShortRate" --length 8s --warm-up 100 --id-prefix a \
      >"$Run/alone.txt"
    "$Bin/zinnia-load" --target "$Near" "${Mix[@]}" \
      --rate $((ShortRate + LongRate)) --length 8s --limit 20s \
      --warm-up 100 --id-prefix m --seed "$Number" >"$Run/mixed.txt"
    Alone=$(sed -n 's/^p99-us //p' "$Run/alone.txt")
    Mixed=$(quantile_of_short "$Run/mixed.txt" p99-us)
    echo "$Order run $Number: p99 of short calls alone $Alone us," \
      "beside long ones $Mixed us, times" \
      "$(awk "BEGIN { printf \"%.2f\", $Mixed / $Alone }")"
    grep -E '^(result|unanswered|class)' "$Run/mixed.txt"
    stop_all
  done
done
