#!/usr/bin/env bash
# A backend server that leaves, and a node that is stopped, while calls run:
# neither gets new work two seconds later, and no call is cut off or lost.
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=${Bin:-$PWD/build/release/bin}
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all; rm -rf "$Run"' EXIT
Count=4
LongCallUs=6000000

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

# Succeeds when each of the nodes N... shows COUNT servers: COUNT N...
nodes_show() {
  local Wanted=$1 I
  shift
  for I in "$@"; do
    [ "$(curl -sf "http://${Admin[$I]}/v1/status" | grep -c '^server-')" -eq \
      "$Wanted" ] || return 1
  done
}
in_force() {
  local Each
  for Each in "${Admin[@]}"; do
    curl -sf "http://$Each/v1/status" | grep -qx "version = $Version" ||
      return 1
  done
}
runs_of() { # SERVER-INDEX: calls it has begun
  curl -sf "http://${Server[$1]}/standin/ledger" | wc -l
}
runs_call() { # SERVER-INDEX ID
  curl -sf "http://${Server[$1]}/standin/ledger" | grep -q "^$2 "
}
# Starts a long call and sets Holder to the server that works on it, one of the
# indices given, and LongPid: ID INDEX...
begin_long() {
  local Id=$1 Try I
  shift
  for Try in $(seq 20); do
    curl -s -H 'x-deadline-ms: 30000' -o "$Run/$Id-$Try" \
      "http://${Call[0]}/prices/long?id=$Id-$Try&work-us=$LongCallUs" &
    LongPid=$! LongId=$Id-$Try
    for ((Wait = 0; Wait < 100; Wait++)); do
      for I in "$@"; do
        if runs_call "$I" "$LongId"; then
          Holder=$I
          return 0
        fi
      done
      runs_call 0 "$LongId" && break
      sleep 0.02
    done
  done
  echo "no long call began on any of $*" >&2
  return 1
}
long_is_whole() {
  wait "$LongPid"
  grep -q "^id=$LongId server=server-$Holder$" "$Run/$LongId" || {
    echo "long call $LongId was cut: $(cat "$Run/$LongId")" >&2
    return 1
  }
}
now_ms() { date +%s%3N; }
# Waits until the nodes N... show COUNT servers, for two seconds: COUNT N...
gone_in_time() {
  local Start
  Start=$(now_ms)
  until nodes_show "$@"; do
    [ $(($(now_ms) - Start)) -lt 2000 ] || {
      echo "not all nodes heard within 2 s" >&2
      return 1
    }
    sleep 0.02
  done
  echo "all nodes heard after $(($(now_ms) - Start)) ms"
}

wait_until 20 nodes_show "$Count" 0 1 2 3
# A long call must not be hedged away from the server that leaves.
cp -r Data/Ashcombe/set "$Run/set"
sed -i 's/^hedge-after = .*//; s/^deadline = 800ms/deadline = 30s/' \
  "$Run"/set/*.ini
Out=$("$Bin/zinniactl" --log "http://127.0.0.1:$LogPort" --author drain \
  publish "$Run/set")
Version=${Out##* }
wait_until 10 in_force

"$Bin/zinnia-load" --target "${Call[0]}" --path /prices/base-set --rate 100 \
  --length 20s --id-prefix load- --ledger "${Server[0]}" \
  --ledger "${Server[1]}" --ledger "${Server[2]}" --ledger "${Server[3]}" \
  >"$Run/load.txt" &
LoadPid=$!

# Every server has work before anything leaves.
all_loaded() {
  local I
  for ((I = 0; I < Count; I++)); do [ "$(runs_of "$I")" -ge 20 ] || return 1; done
}
wait_until 10 all_loaded

echo "--- a backend server leaves"
begin_long first 1 2
Gone=$Holder
curl -sf -d "$(printf '[faults]\nsilent = yes\n')" \
  "http://${Server[$Gone]}/standin/faults" >/dev/null
curl -sf -X DELETE "http://${Admin[$Gone]}/v1/servers/server-$Gone" >/dev/null
gone_in_time 3 0 1 2 3
Before=$(runs_of "$Gone")
long_is_whole
[ "$(runs_of "$Gone")" -eq "$Before" ]
echo "server-$Gone began nothing more and ended its long call"

echo "--- a node is stopped"
begin_long second 3
kill -TERM "${NodePids[3]}"
gone_in_time 2 0 1 2
Before=$(runs_of 3)
long_is_whole
[ "$(runs_of 3)" -eq "$Before" ]
wait "${NodePids[3]}" || true
echo "node n3 got nothing more, ended its long call and then itself"

wait "$LoadPid"
cat "$Run/load.txt"
Sent=$(sed -n 's/^sent //p' "$Run/load.txt")
Served=$(sed -n 's/^served //p' "$Run/load.txt")
Doubled=$(sed -n 's/^doubled //p' "$Run/load.txt")
echo "--- lost $((Sent - Served)), doubled $Doubled"
[ "$Sent" -eq "$Served" ] && [ "$Doubled" -eq 0 ]
