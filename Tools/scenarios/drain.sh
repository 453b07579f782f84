#!/usr/bin/env bash
# While calls run, a backend server is deregistered, then a node is stopped with
# SIGTERM. After two seconds neither may get new calls. Calls that have started
# must run to their end, and no call may be lost or run twice.
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=${Bin:-$PWD/build/release/bin}
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all; rm -rf "$Run"' EXIT
Count=4
LongCallUs=6000000

# Six ports for each node (calls, peers, members, admin, backend server,
# control) and one for the log.
read -ra Ports <<<"$(free_ports $((Count * 6 + 1)))"
LogPort=${Ports[$((Count * 6))]}
Seeds="127.0.0.1:${Ports[2]} 127.0.0.1:${Ports[8]}"
Call=() Admin=() Server=() NodePids=()
start_log "$LogPort"
for ((I = 0; I < Count; I++)); do
  P=$((I * 6))
  Call+=("127.0.0.1:${Ports[$P]}")
  Admin+=("127.0.0.1:${Ports[$((P + 3))]}")
  Server+=("127.0.0.1:${Ports[$((P + 4))]}")
  start_node "n$I" leicester "${Ports[$P]}" "${Ports[$((P + 1))]}" \
    "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" "$Seeds" "$LogPort" \
    "${Ports[$((P + 5))]}"
  NodePids+=("$NodePid")
  start_backend "server-$I" price-catalogue "${Ports[$((P + 4))]}" 6 \
    "${Ports[$((P + 3))]}" 2ms
done

# Succeeds when the status page of each node N... lists COUNT backend servers.
nodes_show() { # COUNT N...
  local Expected=$1 I
  shift
  for I in "$@"; do
    [ "$(curl -sf "http://${Admin[$I]}/v1/status" | grep -c '^server-')" -eq \
      "$Expected" ] || return 1
  done
}
# Succeeds when Version is in force on every node.
all_at_version() {
  local Address
  for Address in "${Admin[@]}"; do
    curl -sf "http://$Address/v1/status" | grep -qx "version = $Version" ||
      return 1
  done
}
# Prints how many calls a backend server has started.
calls_started() { # SERVER-INDEX
  curl -sf "http://${Server[$1]}/standin/ledger" | wc -l
}
# Succeeds when a backend server has started the call ID.
has_started() { # SERVER-INDEX ID
  curl -sf "http://${Server[$1]}/standin/ledger" | grep -q "^$2 "
}
# Starts long calls until one runs on a backend server N... and sets LongPid,
# LongId and LongServer, the index of that server. A call that runs on
# server 0 is cancelled, so that it keeps no slot from the load, and the next one
# is started.
start_long_call() { # ID N...
  local Id=$1 Attempt I
  shift
  for Attempt in $(seq 20); do
    curl -s -H 'x-deadline-ms: 30000' -o "$Run/$Id-$Attempt" \
      "http://${Call[0]}/prices/long?id=$Id-$Attempt&work-us=$LongCallUs" &
    LongPid=$! LongId=$Id-$Attempt
    for ((Poll = 0; Poll < 100; Poll++)); do
      for I in "$@"; do
        if has_started "$I" "$LongId"; then
          LongServer=$I
          return 0
        fi
      done
      if has_started 0 "$LongId"; then
        kill "$LongPid"
        wait "$LongPid" 2>/dev/null || true
        break
      fi
      sleep 0.02
    done
  done
  echo "no long call started on any of the backend servers $*" >&2
  return 1
}
# Waits for the long call and succeeds when its response is complete and names
# the server that ran it.
long_call_completes() {
  wait "$LongPid"
  grep -q "^id=$LongId server=server-$LongServer$" "$Run/$LongId" || {
    echo "long call $LongId has a wrong or incomplete response: $(cat "$Run/$LongId")" >&2
    return 1
  }
}
now_ms() { date +%s%3N; }
# Waits up to two seconds until the nodes N... list COUNT backend servers.
wait_for_servers() { # COUNT N...
  local Start
  Start=$(now_ms)
  until nodes_show "$@"; do
    [ $(($(now_ms) - Start)) -lt 2000 ] || {
      echo "not all nodes list $1 backend servers within 2 s" >&2
      return 1
    }
    sleep 0.02
  done
  echo "all nodes list $1 backend servers after $(($(now_ms) - Start)) ms"
}

wait_until 20 nodes_show "$Count" 0 1 2 3
# Removes hedging, so that a long call does not run on a second server, and
# gives calls a deadline that is longer than the long call.
cp -r Data/Ashcombe/set "$Run/set"
sed -i 's/^hedge-after = .*//; s/^deadline = 800ms/deadline = 30s/' \
  "$Run"/set/*.ini
Output=$("$Bin/zinniactl" --log "http://127.0.0.1:$LogPort" --author drain \
  publish "$Run/set")
Version=${Output##* }
wait_until 10 all_at_version

"$Bin/zinnia-load" --target "${Call[0]}" --path /prices/base-set --rate 100 \
  --length 20s --id-prefix load- --ledger "${Server[0]}" \
  --ledger "${Server[1]}" --ledger "${Server[2]}" --ledger "${Server[3]}" \
  >"$Run/load.txt" &
LoadPid=$!

# Succeeds when every backend server has started at least 20 calls, so that all
# are in use before one leaves.
all_loaded() {
  local I
  for ((I = 0; I < Count; I++)); do [ "$(calls_started "$I")" -ge 20 ] || return 1; done
}
wait_until 10 all_loaded

echo "--- a backend server is deregistered"
start_long_call first 1 2
LeavingServer=$LongServer
curl -sf -d "$(printf '[faults]\nsilent = yes\n')" \
  "http://${Server[$LeavingServer]}/standin/faults" >/dev/null
curl -sf -X DELETE "http://${Admin[$LeavingServer]}/v1/servers/server-$LeavingServer" >/dev/null
wait_for_servers 3 0 1 2 3
CallsBefore=$(calls_started "$LeavingServer")
long_call_completes
[ "$(calls_started "$LeavingServer")" -eq "$CallsBefore" ]
echo "server-$LeavingServer started no more calls and finished its long call"

echo "--- a node is stopped"
start_long_call second 3
kill -TERM "${NodePids[3]}"
wait_for_servers 2 0 1 2
CallsBefore=$(calls_started 3)
long_call_completes
[ "$(calls_started 3)" -eq "$CallsBefore" ]
wait "${NodePids[3]}" || true
echo "node n3 got no more calls, finished its long call and exited"

wait "$LoadPid"
cat "$Run/load.txt"
Sent=$(sed -n 's/^sent //p' "$Run/load.txt")
Served=$(sed -n 's/^served //p' "$Run/load.txt")
Doubled=$(sed -n 's/^doubled //p' "$Run/load.txt")
echo "--- lost $((Sent - Served)), doubled $Doubled"
[ "$Sent" -eq "$Served" ] && [ "$Doubled" -eq 0 ]
