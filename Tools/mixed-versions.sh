#!/usr/bin/env bash
# Runs nodes of two builds in one mesh and lets the new build read what the old
# one wrote: settings, the configuration and claims on the log, and checkpoints.
# Shows that an upgrade, or a change that must not alter any message, leaves both
# builds able to work together. Usage: mixed-versions.sh OLD-BIN [NEW-BIN]
set -euo pipefail
cd "$(dirname "$0")/.."
Old=$(realpath "${1:?the folder with the programs of the old build}")
New=$(realpath "${2:-build/release/bin}")
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all || true; rm -rf "$Run"' EXIT
Failed=0
expect() { # WHAT WANTED-PATTERN GOT
  if [[ $3 =~ ^($2)$ ]]; then
    echo "ok: $1: $3"
  else
    echo "FAILED: $1: wanted $2, got $3"
    Failed=1
  fi
}
outcome() { # COMMAND...: prints whether it succeeded
  if "$@" >"$Run/outcome" 2>&1; then echo yes; else echo "no: $(tail -1 "$Run/outcome")"; fi
}

# The nodes 0 and 1 are of the old build, 2 and 3 of the new one; each data
# centre has one of both.
Names=(leicester-1 derby-1 leicester-2 derby-2)
Builds=("$Old" "$Old" "$New" "$New")
# Payouts run beside old nodes only, prices beside new nodes only.
Services=(payouts payouts price-catalogue price-catalogue)
start_pair() { # INDEX: a node and the backend server beside it
  local P=$(($1 * 6))
  Bin=${Builds[$1]}
  start_node "${Names[$1]}" "${Names[$1]%-*}" "${Ports[$P]}" "${Ports[$((P + 1))]}" \
    "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" \
    "127.0.0.1:${Ports[2]} 127.0.0.1:${Ports[8]}" "$LogPort" "${Ports[$((P + 5))]}"
  NodePids[$1]=$NodePid
  start_backend "server-$1" "${Services[$1]}" "${Ports[$((P + 4))]}" 6 \
    "${Ports[$((P + 3))]}" 2ms
}
status() { curl -sf -m 2 "http://127.0.0.1:${Ports[$(($1 * 6 + 3))]}/v1/status"; }
# Succeeds when the nodes N... have a version in force: at_version VERSION N...
at_version() {
  local Wanted=$1 I
  shift
  for I in "$@"; do status "$I" | grep -qx "version = $Wanted" || return 1; done
}
# Succeeds when the nodes N... show COUNT backend servers: show_servers COUNT N...
show_servers() {
  local Wanted=$1 I
  shift
  for I in "$@"; do
    [ "$(status "$I" | grep -c '^server-')" -eq "$Wanted" ] || return 1
  done
}
control() { # BIN ARGUMENTS...: zinniactl of that build
  local Build=$1
  shift
  "$Build/zinniactl" --log "http://127.0.0.1:$LogPort" --author upgrade "$@"
}
# Prints "status result recorded": send NODE METHOD PATH [KEY]
send() {
  curl -s -m 10 -o /dev/null -D - -X "$2" -H "Idempotency-Key: ${4:-}" \
    -H 'X-Deadline-Ms: 4000' --data pay "http://127.0.0.1:${Ports[$(($1 * 6))]}$3" |
    tr -d '\r' | awk '/^HTTP/ {s = $2} tolower($1) == "x-zinnia-result:" {r = $2}
      tolower($1) == "x-zinnia-recorded:" {w = " " $2} END {print s, r w}' || true
}
key() { echo "$(date +%s%3N)-$1"; }
runs_of() { # ID: how often the payouts servers ran it
  local I
  for I in 0 1; do curl -sf "http://127.0.0.1:${Ports[$((I * 6 + 4))]}/standin/ledger"; done |
    awk -v id="$1" '$1 == id {n += $2} END {print n + 0}'
}
knows_claims() { # NODE...
  local I
  for I in "$@"; do grep -q 'knows .* claims' "$Run/${Names[$I]}.log" && return 0; done
  return 1
}

echo "--- settings and sets of the repository"
for Each in Ashcombe Contadores; do
  for Build in "$Old" "$New"; do
    expect "check of the set $Each" yes "$(outcome "$Build/zinniactl" check "Data/$Each/set")"
    expect "settings of $Each" yes \
      "$(outcome "$Build/zinnia-node" --settings "Data/$Each/node.ini" --check-settings)"
  done
done
expect "the broken set is refused alike" yes "$(outcome diff \
  <("$Old/zinniactl" check Data/Broken/set.ini 2>&1 | grep -oE '[0-9]{3} [A-Z][A-Za-z]+' || true) \
  <("$New/zinniactl" check Data/Broken/set.ini 2>&1 | grep -oE '[0-9]{3} [A-Z][A-Za-z]+' || true))"

read -ra Ports <<<"$(free_ports 25)"
LogPort=${Ports[24]}
NodePids=()
Bin=$Old
start_log "$LogPort"
echo "--- the old build publishes and runs a call at most once"
start_pair 0
start_pair 1
wait_until 20 show_servers 2 0 1
V1=$(control "$Old" publish Data/Ashcombe/set)
V1=${V1##* }
wait_until 10 at_version "$V1" 0 1
wait_until 15 knows_claims 0
K1=$(key k1)
expect "call at an old node" "200 0" "$(send 0 POST "/payouts/x?id=k1" "$K1")"

echo "--- nodes of the new build join"
start_pair 2
start_pair 3
wait_until 20 show_servers 4 0 1 2 3
wait_until 10 at_version "$V1" 0 1 2 3
echo "ok: all nodes show version $V1 and all servers"

echo "--- calls both ways"
for I in 0 1; do
  expect "old node $I, server beside a new node" "200 0" "$(send "$I" GET /prices/base-set)"
done
for I in 2 3; do
  expect "new node $I, server beside an old node" "200 0" \
    "$(send "$I" POST "/payouts/x?id=both$I" "$(key "both$I")")"
done

echo "--- a key that is used again at the other build"
expect "old first, then new" "200 0 whole" "$(send 2 POST "/payouts/x?id=k1" "$K1")"
expect "old first, then new in the other data centre" "200 0 whole" \
  "$(send 3 POST "/payouts/x?id=k1" "$K1")"
K2=$(key k2)
expect "new first" "200 0" "$(send 3 POST "/payouts/x?id=k2" "$K2")"
expect "new first, then old" "200 0 whole" "$(send 0 POST "/payouts/x?id=k2" "$K2")"
expect "runs of both ids" "1 1" "$(runs_of k1) $(runs_of k2)"

echo "--- publish, explain and roll back with either build"
cp -r Data/Ashcombe/set "$Run/set"
sed -i 's/^deadline = 800ms/deadline = 900ms/' "$Run/set/kinds.ini"
V2=$(control "$New" publish "$Run/set")
V2=${V2##* }
wait_until 10 at_version "$V2" 0 1 2 3
echo "ok: version $V2 of the new zinniactl is in force on all nodes"
expect "explain of the old version is the same" yes \
  "$(outcome diff <(control "$Old" explain "$V1") <(control "$New" explain "$V1"))"
expect "explain of the new version is the same" yes \
  "$(outcome diff <(control "$Old" explain "$V2") <(control "$New" explain "$V2"))"
V3=$(control "$Old" rollback "$V1")
V3=${V3##* }
wait_until 10 at_version "$V3" 0 1 2 3
echo "ok: rollback $V3 of the old zinniactl is in force on all nodes"

echo "--- burn reports of both builds over all nodes"
cat >"$Run/burn.ini" <<S
[nodes]
admin = 127.0.0.1:${Ports[3]} 127.0.0.1:${Ports[9]} 127.0.0.1:${Ports[15]} 127.0.0.1:${Ports[21]}
timeout = 2s
[objective payouts]
service = payouts
target-percent = 99.9
latency = 2s
S
expect "the reports are the same" yes "$(outcome diff \
  <("$Old/zinnia-burn" --settings "$Run/burn.ini") <("$New/zinnia-burn" --settings "$Run/burn.ini"))"

echo "--- a backend server leaves a new node, and an old node stops"
curl -sf -d "$(printf '[faults]\nsilent = yes\n')" \
  "http://127.0.0.1:${Ports[16]}/standin/faults" >/dev/null
curl -sf -X DELETE "http://127.0.0.1:${Ports[15]}/v1/servers/server-2" >/dev/null
expect "all nodes drop the server" yes "$(outcome wait_until 2 show_servers 3 0 1 2 3)"
kill -TERM "${NodePids[0]}"
expect "the others drop the stopped node's server" yes \
  "$(outcome wait_until 3 show_servers 2 1 2 3)"
expect "payouts through a new node afterwards" "200 0" \
  "$(send 3 POST "/payouts/x?id=late" "$(key late)")"
wait "${NodePids[0]}" || true
stop_all

echo "--- a new node starts from a checkpoint that an old node wrote"
read -ra Ports <<<"$(free_ports 25)"
LogPort=${Ports[24]}
LogSettings=$'checkpoint-interval = 2s'
Bin=$Old
start_log "$LogPort" --retention 10s
start_pair 0
wait_until 20 show_servers 1 0
V1=$(control "$Old" publish Data/Ashcombe/set)
V1=${V1##* }
wait_until 10 at_version "$V1" 0
Published=$SECONDS
# The record itself expires; checkpoints of it are written meanwhile.
while [ $((SECONDS - Published)) -lt 13 ]; do sleep 0.2; done
kill -KILL "${NodePids[0]}"
wait "${NodePids[0]}" || true
start_pair 2
expect "the new node has the version of the checkpoint" yes \
  "$(outcome wait_until 15 at_version "$V1" 2)"
stop_all
echo "--- failed: $Failed"
exit $Failed
