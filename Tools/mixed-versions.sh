#!/usr/bin/env bash
# Checks that two builds are compatible. Runs nodes of both in one mesh, and
# lets the new build read what the old one wrote: settings, the configuration
# and the claims on the log, and checkpoints. Run it for an upgrade, and for a
# change that must not alter any message.
# Usage: Tools/mixed-versions.sh OLD-BIN [NEW-BIN]
set -euo pipefail
cd "$(dirname "$0")/.."
Old=$(realpath "${1:?missing OLD-BIN, the folder with the programs of the old build}")
New=$(realpath "${2:-build/release/bin}")
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all || true; rm -rf "$Run"' EXIT
# Prints yes if the command succeeds, or no and the last line of its output.
outcome() { # COMMAND...
  if "$@" >"$Run/outcome" 2>&1; then echo yes; else echo "no: $(tail -1 "$Run/outcome")"; fi
}

# Nodes 0 and 1 run the old build, nodes 2 and 3 the new one. Each data centre
# has one node of each build.
Names=(leicester-1 derby-1 leicester-2 derby-2)
Builds=("$Old" "$Old" "$New" "$New")
# The backend servers of payouts register with old nodes only, those of prices
# with new nodes only.
Services=(payouts payouts price-catalogue price-catalogue)
# Starts a node and the backend server that registers with it. Six ports for
# each pair: calls, peers, members, admin, backend server, control.
start_pair() { # INDEX
  local P=$(($1 * 6))
  Bin=${Builds[$1]}
  start_node "${Names[$1]}" "${Names[$1]%-*}" "${Ports[$P]}" "${Ports[$((P + 1))]}" \
    "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" \
    "127.0.0.1:${Ports[2]} 127.0.0.1:${Ports[8]}" "$LogPort" "${Ports[$((P + 5))]}"
  NodePids[$1]=$NodePid
  start_backend "server-$1" "${Services[$1]}" "${Ports[$((P + 4))]}" 6 \
    "${Ports[$((P + 3))]}" 2ms
}
# Prints the status page of a node.
node_status() { # INDEX
  curl -sf -m 2 "http://127.0.0.1:${Ports[$(($1 * 6 + 3))]}/v1/status"
}
# Succeeds when VERSION is in force on the nodes N...
at_version() { # VERSION N...
  local Expected=$1 I
  shift
  for I in "$@"; do node_status "$I" | grep -qx "version = $Expected" || return 1; done
}
# Succeeds when the nodes N... list COUNT backend servers.
show_servers() { # COUNT N...
  local Expected=$1 I
  shift
  for I in "$@"; do
    [ "$(node_status "$I" | grep -c '^server-')" -eq "$Expected" ] || return 1
  done
}
# Runs zinniactl of a build.
run_zinniactl() { # BIN ARGUMENTS...
  local Build=$1
  shift
  "$Build/zinniactl" --log "http://127.0.0.1:$LogPort" --author upgrade "$@"
}
# Sends a call and prints the HTTP status, the result code and the value of
# X-Zinnia-Recorded.
send_call() { # NODE METHOD PATH [KEY]
  curl -s -m 10 -o /dev/null -D - -X "$2" -H "Idempotency-Key: ${4:-}" \
    -H 'X-Deadline-Ms: 4000' --data pay "http://127.0.0.1:${Ports[$(($1 * 6))]}$3" |
    tr -d '\r' | awk '/^HTTP/ {s = $2} tolower($1) == "x-zinnia-result:" {r = $2}
      tolower($1) == "x-zinnia-recorded:" {w = " " $2} END {print s, r w}' || true
}
# Prints how many times the backend servers of payouts ran a call.
runs_of() { # ID
  local I
  for I in 0 1; do curl -sf "http://127.0.0.1:${Ports[$((I * 6 + 4))]}/standin/ledger"; done |
    awk -v id="$1" '$1 == id {n += $2} END {print n + 0}'
}
# Succeeds when one of the nodes has read the claims on the log.
any_knows_claims() { # NODE...
  local I
  for I in "$@"; do grep -q 'knows .* claims' "$Run/${Names[$I]}.log" && return 0; done
  return 1
}

echo "--- settings and sets of the repository"
for Set in Ashcombe Contadores; do
  for Build in "$Old" "$New"; do
    expect "zinniactl check of the set $Set" yes \
      "$(outcome "$Build/zinniactl" check "Data/$Set/set")"
    expect "settings of $Set" yes \
      "$(outcome "$Build/zinnia-node" --settings "Data/$Set/node.ini" --check-settings)"
  done
done
expect "both builds refuse the broken set with the same result codes" yes "$(outcome diff \
  <("$Old/zinniactl" check Data/Broken/set.ini 2>&1 | grep -oE '[0-9]{3} [A-Z][A-Za-z]+' || true) \
  <("$New/zinniactl" check Data/Broken/set.ini 2>&1 | grep -oE '[0-9]{3} [A-Z][A-Za-z]+' || true))"

read -ra Ports <<<"$(free_ports 25)"
LogPort=${Ports[24]}
NodePids=()
Bin=$Old
start_log "$LogPort"
echo "--- the old build publishes a set and runs an at-most-once call"
start_pair 0
start_pair 1
wait_until 20 show_servers 2 0 1
FirstVersion=$(run_zinniactl "$Old" publish Data/Ashcombe/set)
FirstVersion=${FirstVersion##* }
wait_until 10 at_version "$FirstVersion" 0 1
wait_until 15 any_knows_claims 0
OldKey=$(make_key k1)
expect "call at an old node" "200 0" "$(send_call 0 POST "/payouts/x?id=k1" "$OldKey")"

echo "--- nodes of the new build join"
start_pair 2
start_pair 3
wait_until 20 show_servers 4 0 1 2 3
wait_until 10 at_version "$FirstVersion" 0 1 2 3
echo "ok: version $FirstVersion is in force on all nodes and all list the backend servers"

echo "--- calls between nodes of both builds"
for I in 0 1; do
  expect "call at old node $I, backend server at a new node" "200 0" \
    "$(send_call "$I" GET /prices/base-set)"
done
for I in 2 3; do
  expect "call at new node $I, backend server at an old node" "200 0" \
    "$(send_call "$I" POST "/payouts/x?id=both$I" "$(make_key "both$I")")"
done

echo "--- a key is used again at a node of the other build"
expect "old first, then new" "200 0 whole" "$(send_call 2 POST "/payouts/x?id=k1" "$OldKey")"
expect "old first, then new in the other data centre" "200 0 whole" \
  "$(send_call 3 POST "/payouts/x?id=k1" "$OldKey")"
NewKey=$(make_key k2)
expect "new first" "200 0" "$(send_call 3 POST "/payouts/x?id=k2" "$NewKey")"
expect "new first, then old" "200 0 whole" "$(send_call 0 POST "/payouts/x?id=k2" "$NewKey")"
expect "each of the two calls ran once" "1 1" "$(runs_of k1) $(runs_of k2)"

echo "--- publish, explain and roll back with either build"
cp -r Data/Ashcombe/set "$Run/set"
sed -i 's/^deadline = 800ms/deadline = 900ms/' "$Run/set/kinds.ini"
NewVersion=$(run_zinniactl "$New" publish "$Run/set")
NewVersion=${NewVersion##* }
wait_until 10 at_version "$NewVersion" 0 1 2 3
echo "ok: version $NewVersion of the new zinniactl is in force on all nodes"
expect "both builds explain the old version alike" yes \
  "$(outcome diff <(run_zinniactl "$Old" explain "$FirstVersion") \
    <(run_zinniactl "$New" explain "$FirstVersion"))"
expect "both builds explain the new version alike" yes \
  "$(outcome diff <(run_zinniactl "$Old" explain "$NewVersion") \
    <(run_zinniactl "$New" explain "$NewVersion"))"
RolledBackVersion=$(run_zinniactl "$Old" rollback "$FirstVersion")
RolledBackVersion=${RolledBackVersion##* }
wait_until 10 at_version "$RolledBackVersion" 0 1 2 3
echo "ok: rollback $RolledBackVersion of the old zinniactl is in force on all nodes"

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
expect "both burn reports are the same" yes "$(outcome diff \
  <("$Old/zinnia-burn" --settings "$Run/burn.ini") <("$New/zinnia-burn" --settings "$Run/burn.ini"))"

echo "--- a backend server is deregistered at a new node, and an old node stops"
curl -sf -d "$(printf '[faults]\nsilent = yes\n')" \
  "http://127.0.0.1:${Ports[16]}/standin/faults" >/dev/null
curl -sf -X DELETE "http://127.0.0.1:${Ports[15]}/v1/servers/server-2" >/dev/null
expect "all nodes remove the backend server" yes "$(outcome wait_until 2 show_servers 3 0 1 2 3)"
kill -TERM "${NodePids[0]}"
expect "the others remove the backend server of the stopped node" yes \
  "$(outcome wait_until 3 show_servers 2 1 2 3)"
expect "payout through a new node afterwards" "200 0" \
  "$(send_call 3 POST "/payouts/x?id=late" "$(make_key late)")"
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
FirstVersion=$(run_zinniactl "$Old" publish Data/Ashcombe/set)
FirstVersion=${FirstVersion##* }
wait_until 10 at_version "$FirstVersion" 0
PublishTime=$SECONDS
# Waits until the record has expired on the log. Meanwhile checkpoints that hold
# it are written.
while [ $((SECONDS - PublishTime)) -lt 13 ]; do sleep 0.2; done
kill -KILL "${NodePids[0]}"
wait "${NodePids[0]}" || true
start_pair 2
expect "the version of the checkpoint is in force on the new node" yes \
  "$(outcome wait_until 15 at_version "$FirstVersion" 2)"
stop_all
echo "--- failed: $Failed"
exit $Failed
