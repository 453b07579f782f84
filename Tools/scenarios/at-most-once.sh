#!/usr/bin/env bash
# Calls with repeated keys through two nodes, with lost answers of the log, an
# outage of it and a batcher that is killed or frozen. Each id must have run at
# most once, and exactly once when any of its calls was served.
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all || true; rm -rf "$Run"' EXIT

Nodes=(derby-1 derby-2 derby-3 leicester-1)
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
# The backend server stands beside the node of the other data centre, which
# is not stopped here.
start_backend payouts-1 payouts "$BackendPort" 6 "${Ports[21]}" 5ms

ready() {
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
wait_until 20 ready

fault() {
  curl -sf "http://127.0.0.1:$LogPort/standin/faults" --data-binary \
    "[faults]
$1" >/dev/null
}
# Prints "status result": pay NODE KEY ID [BODY]
pay() {
  local Out
  Out=$(curl -s -m 10 -o /dev/null -D - -X POST -H "Idempotency-Key: $2" \
    -H 'X-Deadline-Ms: 4000' --data "${4:-pay}" \
    "http://127.0.0.1:${Ports[$(($1 * 6))]}/payouts/x?id=$3") || true
  echo "$Out" | tr -d '\r' |
    awk '/^HTTP/ {s = $2} tolower($1) == "x-zinnia-result:" {r = $2}
      END {print s, r}'
}
key() { echo "$(date +%s%3N)-$1"; }
Failed=0
expect() { # WHAT WANTED GOT
  if [[ $3 =~ ^($2)$ ]]; then
    echo "ok: $1: $3"
  else
    echo "FAILED: $1: wanted $2, got $3"
    Failed=1
  fi
}

wait_until 10 grep -q 'knows .* claims' "$Run/leicester-1.log"
for Name in derby-1 derby-2 derby-3; do
  grep -q 'reads the claims' "$Run/$Name.log" &&
    wait_until 10 grep -q 'knows .* claims' "$Run/$Name.log"
done

echo "--- keys"
expect "no key" "503 112" "$(pay 0 "" a0)"
expect "expired" "503 113" "$(pay 0 "1000-a" a0)"
K=$(key a1)
expect "first call" "200 0" "$(pay 0 "$K" a1)"
expect "recorded answer at another node" "200 0" "$(pay 1 "$K" a1)"
expect "recorded answer in the other data centre" "200 0" "$(pay 3 "$K" a1)"
expect "another body" "503 114" "$(pay 2 "$K" a1 other)"

echo "--- two calls at once with one key, 30 times, answers of the log lost"
fault "lose-answers = 15"
for I in $(seq 30); do
  K=$(key "b$I")
  pay $((I % 3)) "$K" "b$I" >"$Run/one" &
  One=$!
  pay 3 "$K" "b$I" >"$Run/two"
  wait "$One"
  sort "$Run/one" "$Run/two" | tr '\n' ';'
done | tr ';' '\n' | sort | uniq -c
fault "lose-answers = 0"

echo "--- outage of the log"
fault "outage = yes"
K=$(key c1)
Start=$(date +%s%3N)
expect "refused in the outage" "503 115" "$(pay 0 "$K" c1)"
expect "within the deadline" "[0-3]?[0-9]{1,3}|4[0-4][0-9]{2}" \
  "$(($(date +%s%3N) - Start))"
fault "outage = no"
expect "same key after the outage" "200 0" "$(pay 1 "$K" c1)"

echo "--- the first batcher is frozen, then killed, while calls come in"
# The batcher of derby is the node that wrote the first batch there.
for I in 0 1 2; do
  kill -STOP "${NodePids[$I]}"
  for N in 0 1 2; do
    [ "$N" -eq "$I" ] && continue
    K=$(key "d$I$N")
    expect "node $N while ${Nodes[$I]} is frozen" "200 0" \
      "$(pay "$N" "$K" "d$I$N")"
  done
  kill -CONT "${NodePids[$I]}"
  wait_until 10 curl -sf -m 1 "http://127.0.0.1:${Ports[$((I * 6 + 3))]}/v1/status"
done
kill -KILL "${NodePids[0]}"
K=$(key e1)
expect "after a death" "200 0" "$(pay 1 "$K" e1)"
expect "again, at another node" "200 0" "$(pay 2 "$K" e1)"

curl -sf "http://127.0.0.1:$BackendPort/standin/ledger" >"$Run/ledger"
expect "ids that ran" "39" "$(wc -l <"$Run/ledger")"
expect "ids that ran more than once" "0" \
  "$(awk '$2 > 1' "$Run/ledger" | wc -l)"
exit $Failed
