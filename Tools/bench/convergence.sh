#!/usr/bin/env bash
# Measures how long a change takes from the log to force on the last node, and
# the bytes it costs, on loopback:
#   convergence.sh [NODES-PER-DATA-CENTRE] [CHANGES] [readers|all] [KILLS]
#                  [KILL|STOP]
# There are two data centres. KILLS is how many times the reader of one of them
# is killed while a change spreads, or with STOP frozen and woken at the end.
set -euo pipefail
cd "$(dirname "$0")/../.."
PerCentre=${1:-5}
Changes=${2:-50}
Follow=${3:-readers}
Kills=${4:-0}
Signal=${5:-KILL}
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all || true; rm -rf "$Run"' EXIT

Count=$((PerCentre * 2))
read -ra Ports <<<"$(free_ports $((Count * 5 + 1)))"
LogPort=${Ports[$((Count * 5))]}
Seeds="127.0.0.1:${Ports[2]} 127.0.0.1:${Ports[7]}"
LogSettings="follow = $Follow"
start_log "$LogPort"
for ((I = 0; I < Count; ++I)); do
  P=$((I * 5))
  Centre=leicester
  [ $((I % 2)) -eq 1 ] && Centre=derby
  start_node "$Centre-$I" "$Centre" "${Ports[$P]}" "${Ports[$((P + 1))]}" \
    "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" "$Seeds" "$LogPort" \
    "${Ports[$((P + 4))]}"
  echo "$Centre-$I $NodePid 127.0.0.1:${Ports[$((P + 3))]}" >>"$Run/nodes"
done

python3 Tools/bench/convergence.py "$Bin/zinniactl" "$Run" \
  "http://127.0.0.1:$LogPort" "$Changes" "$Kills" "$Signal"
