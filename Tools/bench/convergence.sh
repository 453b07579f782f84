#!/usr/bin/env bash
# Measures, on loopback, the time from the append of a change to the log until it
# is in force on the last node, and the bytes that are sent for it. There are two
# data centres. KILLS is how many times the reader of one of them is killed while
# a change is replicated. With STOP it is frozen instead and resumed at the end.
# Usage: Tools/bench/convergence.sh [NODES-PER-DATA-CENTRE] [CHANGES]
#          [readers|all] [KILLS] [KILL|STOP]
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
