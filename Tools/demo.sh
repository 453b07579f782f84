#!/usr/bin/env bash
# Builds the project and runs a demonstration on loopback: two data centres with
# three VMs each (a node and a backend server), and the stand-in for the log.
# Publishes Ashcombe's set, sends calls and changes a route meanwhile. Fails if
# a call is lost, or if more calls ran more than once than were hedged.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/build.sh >/dev/null
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all; rm -rf "$Run"' EXIT

Nodes=(leicester-1 leicester-2 leicester-3 derby-1 derby-2 derby-3)
Services=(price-catalogue price-catalogue trade-in-credit
  price-catalogue price-catalogue trade-in-credit)
# Six ports for each VM (calls, peers, members, admin, backend server, control)
# and one for the log.
read -ra Ports <<<"$(free_ports 37)"
LogPort=${Ports[36]}
Seeds="127.0.0.1:${Ports[2]} 127.0.0.1:${Ports[20]}"

start_log "$LogPort"
Admin=() Calls=() Ledgers=()
for I in "${!Nodes[@]}"; do
  P=$((I * 6))
  Name=${Nodes[$I]}
  start_node "$Name" "${Name%-*}" "${Ports[$P]}" "${Ports[$((P + 1))]}" \
    "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" "$Seeds" "$LogPort" \
    "${Ports[$((P + 5))]}"
  start_backend "server-$Name" "${Services[$I]}" "${Ports[$((P + 4))]}" 6 \
    "${Ports[$((P + 3))]}" 2ms
  Admin+=("127.0.0.1:${Ports[$((P + 3))]}")
  Calls+=("--target" "127.0.0.1:${Ports[$P]}")
  Ledgers+=("--ledger" "127.0.0.1:${Ports[$((P + 4))]}")
done

# Succeeds when VERSION is in force on every node.
all_at_version() { # VERSION
  local Address
  for Address in "${Admin[@]}"; do
    curl -sf "http://$Address/v1/status" | grep -qx "version = $1" || return 1
  done
}
# Succeeds when the status page of every node lists all six backend servers.
all_show_servers() {
  local Address
  for Address in "${Admin[@]}"; do
    [ "$(curl -sf "http://$Address/v1/status" | grep -c '^server-')" -eq 6 ] ||
      return 1
  done
}
# Publishes a set, waits until it is in force everywhere and prints how long
# that took on each node.
publish() { # PATH...
  local Output Start
  Start=$(date +%s%6N)
  Output=$("$Bin/zinniactl" --log "http://127.0.0.1:$LogPort" \
    --author demo publish "$@")
  Version=${Output##* }
  wait_until 10 all_at_version "$Version"
  echo "version $Version is in force on ${#Nodes[@]} nodes:"
  local I
  for I in "${!Nodes[@]}"; do
    local InForceSince
    InForceSince=$(curl -sf "http://${Admin[$I]}/v1/status" |
      sed -n 's/^in-force-since-us = //p')
    echo "  ${Nodes[$I]}: $(((InForceSince - Start) / 1000)) ms after the start of publishing"
  done
}

wait_until 20 all_show_servers
echo "--- publish Ashcombe's set"
publish Data/Ashcombe/set

echo "--- send 600 calls through all nodes and change the price route meanwhile"
"$Bin/zinnia-load" "${Calls[@]}" --path /prices/base-set --rate 100 \
  --length 6s --id-prefix demo- "${Ledgers[@]}" >"$Run/load.txt" &
LoadPid=$!
cp -r Data/Ashcombe/set "$Run/set"
sed -i '/^\[route prices\]/,/^$/ s/^service = .*/service = trade-in-credit/' \
  "$Run/set/routes.ini"
sleep 2
publish "$Run/set"
wait "$LoadPid"
cat "$Run/load.txt"

Sent=$(sed -n 's/^sent //p' "$Run/load.txt")
Served=$(sed -n 's/^served //p' "$Run/load.txt")
Doubled=$(sed -n 's/^doubled //p' "$Run/load.txt")
stop_all
Hedged=$(hedged_calls "$Run")
echo "--- lost $((Sent - Served)), doubled $Doubled, hedged at most $Hedged"
[ "$Sent" -eq "$Served" ] && [ "$Doubled" -le "$Hedged" ]
