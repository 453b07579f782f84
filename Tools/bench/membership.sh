#!/usr/bin/env bash
# Measures what membership costs a node: datagrams and bytes per second, and
# processor time. Measures at rest, and while a backend server is deregistered
# and registered again once per second.
# Usage: Tools/bench/membership.sh [NODES...]
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=${Bin:-$PWD/build/release/bin}
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all; rm -rf "$Run"' EXIT
IdleSeconds=10
Changes=10
# The servers that this script registers don't exist, so nothing renews their
# announcements.
MembersSettings='announcement-limit = 10m'

# Sums the counters of all nodes in the section [members DIRECTION], sent or
# received, whose names end in SUFFIX.
total() { # DIRECTION SUFFIX
  local Address
  for Address in "${Admin[@]}"; do curl -sf "http://$Address/v1/status"; done |
    awk -v Direction="$1" -v Suffix="$2" '
      /^\[/ { InSection = ($0 == "[members " Direction "]") }
      InSection && $1 ~ Suffix "$" { Sum += $3 }
      END { print Sum + 0 }'
}
# Prints the processor time that all nodes have used, in clock ticks.
ticks() {
  local Pid Sum=0
  for Pid in "${NodePids[@]}"; do
    Sum=$((Sum + $(awk '{print $14 + $15}' "/proc/$Pid/stat")))
  done
  echo "$Sum"
}
# Succeeds when every node lists COUNT backend servers.
all_show_servers() { # COUNT
  local Address
  for Address in "${Admin[@]}"; do
    [ "$(curl -sf "http://$Address/v1/status" | grep -c '^s[0-9]* =')" -eq "$1" ] ||
      return 1
  done
}
# Registers the server sINDEX with the node of that index.
register_server() { # INDEX
  curl -sf -X POST "http://${Admin[$1]}/v1/servers" --data-binary \
    "[server s$1]
service = bench
slots = 6
address = 127.0.0.1:9
" >/dev/null
}
# Stores the time and the counters of all nodes in Snapshot.
take_snapshot() {
  Snapshot=("$(date +%s%3N)" "$(ticks)" "$(total sent -datagrams)"
    "$(total sent -bytes)" "$(total received -bytes)")
}
# Prints the averages since the last snapshot and takes a new one.
report() { # NAME COUNT
  local Before=("${Snapshot[@]}")
  take_snapshot
  awk -v Name="$1" -v N="$2" -v Hz="$(getconf CLK_TCK)" \
    -v Before="${Before[*]}" -v After="${Snapshot[*]}" 'BEGIN {
      split(Before, X, " "); split(After, Y, " ")
      S = (Y[1] - X[1]) / 1000 * N
      printf "%s nodes %d: per node and second: %.1f datagrams and %.0f bytes" \
        " sent, %.0f bytes received, %.2f%% of a core\n", Name, N,
        (Y[3] - X[3]) / S, (Y[4] - X[4]) / S, (Y[5] - X[5]) / S,
        (Y[2] - X[2]) / Hz / S * 100 }'
}

# Starts a mesh of COUNT nodes and measures it.
measure() { # COUNT
  local Count=$1 I LogPort
  read -ra Ports <<<"$(free_ports $((Count * 5 + 1)))"
  LogPort=${Ports[$((Count * 5))]}
  start_log "$LogPort"
  Admin=() NodePids=()
  local Seeds="127.0.0.1:${Ports[2]} 127.0.0.1:${Ports[7]}"
  for ((I = 0; I < Count; I++)); do
    P=$((I * 5))
    start_node "n$I" leicester "${Ports[$P]}" "${Ports[$((P + 1))]}" \
      "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" "$Seeds" "$LogPort" \
      "${Ports[$((P + 4))]}"
    NodePids+=("$NodePid")
    Admin+=("127.0.0.1:${Ports[$((P + 3))]}")
  done
  wait_until 10 all_show_servers 0
  for ((I = 0; I < Count; I++)); do wait_until 10 register_server "$I"; done
  wait_until 20 all_show_servers "$Count"
  # Lets the gossip about the last registrations end, so that it doesn't count as
  # traffic at rest.
  sleep 3
  take_snapshot
  sleep "$IdleSeconds"
  report idle "$Count"
  for ((I = 0; I < Changes; I++)); do
    curl -sf -X DELETE "http://${Admin[0]}/v1/servers/s0" >/dev/null
    sleep 0.5
    register_server 0
    sleep 0.5
  done
  report "2 changes a second," "$Count"
  stop_all
}

for Nodes in "${@:-10 20 40}"; do
  for Count in $Nodes; do measure "$Count"; done
done
