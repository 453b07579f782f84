#!/usr/bin/env bash
# Sends calls with repeated idempotency keys through the nodes of two data
# centres while responses of the log are lost, the log is down, and a batcher is
# frozen or killed. Each id must run at most once, and exactly once if any call
# with it was served.
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all || true; rm -rf "$Run"' EXIT

Nodes=(derby-1 derby-2 derby-3 leicester-1)
# Six ports for each node (calls, peers, members, admin, backend server,
# control), one for the log and one for the backend server.
read -ra Ports <<<"$(free_ports 26)"
LogPort=${Ports[24]}
BackendPort=${Ports[25]}
Seeds="127.0.0.1:${Ports[2]}"
start_log "$LogPort"
NodePids=()
for I in "${!Nodes[@]}"; do
  P=$((I * 6))
  start_node "${Nodes[$I]}" "${Nodes[$I]%-*}" "${Ports[$P]}" \
    "${Ports[$((P + 1))]}" "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" \
    "$Seeds" "$LogPort" "${Ports[$((P + 5))]}"
  NodePids+=("$NodePid")
done
# The backend server registers with leicester-1, which this script never stops.
start_backend payouts-1 payouts "$BackendPort" 6 "${Ports[21]}" 5ms

# Succeeds when every node has Version in force and lists the backend server.
mesh_ready() {
  local I
  for I in "${!Nodes[@]}"; do
    curl -sf "http://127.0.0.1:${Ports[$((I * 6 + 3))]}/v1/status" >"$Run/s"
    grep -qx "version = $Version" "$Run/s" && grep -q '^payouts-1' "$Run/s" ||
      return 1
  done
}
Version=$("$Bin/zinniactl" --log "http://127.0.0.1:$LogPort" --author test \
  publish Data/Ashcombe/set)
Version=${Version##* }
wait_until 20 mesh_ready

# Sets a fault of the stand-in for the log.
set_log_fault() { # LINE
  curl -sf "http://127.0.0.1:$LogPort/standin/faults" --data-binary \
    "[faults]
$1" >/dev/null
}
# Sends a payout and prints its HTTP status and its result code.
send_payout() { # NODE KEY ID [BODY]
  local Headers
  Headers=$(curl -s -m 10 -o /dev/null -D - -X POST -H "Idempotency-Key: $2" \
    -H 'X-Deadline-Ms: 4000' --data "${4:-pay}" \
    "http://127.0.0.1:${Ports[$(($1 * 6))]}/payouts/x?id=$3") || true
  echo "$Headers" | tr -d '\r' |
    awk '/^HTTP/ {s = $2} tolower($1) == "x-zinnia-result:" {r = $2}
      END {print s, r}'
}

# Whether the node has read all claims since it last began to, or does not read
# them: a node that learns of better ranked members stops before it knows them.
is_settled() { # NODE
  ! grep -E 'reads the claims|knows .* claims|stops following the claims' \
    "$Run/$1.log" | tail -n 1 | grep -q 'reads the claims'
}

wait_until 10 grep -q 'knows .* claims' "$Run/leicester-1.log"
for Name in derby-1 derby-2 derby-3; do
  wait_until 10 is_settled "$Name"
done

echo "--- validation of keys and recorded responses"
expect "no key" "503 112" "$(send_payout 0 "" a0)"
expect "expired" "503 113" "$(send_payout 0 "1000-a" a0)"
Key=$(make_key a1)
expect "first call" "200 0" "$(send_payout 0 "$Key" a1)"
expect "recorded response through another node" "200 0" "$(send_payout 1 "$Key" a1)"
expect "recorded response in the other data centre" "200 0" "$(send_payout 3 "$Key" a1)"
expect "same key with another body" "503 114" "$(send_payout 2 "$Key" a1 other)"

echo "--- two concurrent calls with one key, 30 times, while responses of the log are lost"
set_log_fault "lose-answers = 15"
for I in $(seq 30); do
  Key=$(make_key "b$I")
  send_payout $((I % 3)) "$Key" "b$I" >"$Run/one" &
  FirstPid=$!
  send_payout 3 "$Key" "b$I" >"$Run/two"
  wait "$FirstPid"
  sort "$Run/one" "$Run/two" | tr '\n' ';'
done | tr ';' '\n' | sort | uniq -c
set_log_fault "lose-answers = 0"

echo "--- outage of the log"
set_log_fault "outage = yes"
Key=$(make_key c1)
Start=$(date +%s%3N)
expect "refused during the outage" "503 115" "$(send_payout 0 "$Key" c1)"
expect "ms until the refusal, within the deadline" "[0-3]?[0-9]{1,3}|4[0-4][0-9]{2}" \
  "$(($(date +%s%3N) - Start))"
set_log_fault "outage = no"
expect "same key after the outage" "200 0" "$(send_payout 1 "$Key" c1)"

echo "--- each node of derby is frozen, then one is killed, while calls arrive"
# The batcher of derby is the node that wrote the first batch there. Freezing
# each node in turn includes it.
for I in 0 1 2; do
  kill -STOP "${NodePids[$I]}"
  for N in 0 1 2; do
    [ "$N" -eq "$I" ] && continue
    Key=$(make_key "d$I$N")
    expect "node $N while ${Nodes[$I]} is frozen" "200 0" \
      "$(send_payout "$N" "$Key" "d$I$N")"
  done
  kill -CONT "${NodePids[$I]}"
  wait_until 10 curl -sf -m 1 "http://127.0.0.1:${Ports[$((I * 6 + 3))]}/v1/status"
done
kill -KILL "${NodePids[0]}"
Key=$(make_key e1)
expect "after ${Nodes[0]} was killed" "200 0" "$(send_payout 1 "$Key" e1)"
expect "same key through another node" "200 0" "$(send_payout 2 "$Key" e1)"

curl -sf "http://127.0.0.1:$BackendPort/standin/ledger" >"$Run/ledger"
expect "ids that ran" "39" "$(wc -l <"$Run/ledger")"
expect "ids that ran more than once" "0" \
  "$(awk '$2 > 1' "$Run/ledger" | wc -l)"
exit $Failed
