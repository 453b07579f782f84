#!/usr/bin/env bash
# A crowd of clients that nobody controls sends requests of legal size to a node
# (Tools/scenarios/crowd.py). The node must live, stay within its memory and its
# descriptors, and go on answering ordinary callers.
# Usage: crowd.sh KIND
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=${Bin:-$PWD/build/release/bin}
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all || true; rm -rf "$Run"' EXIT
Kind=$1
# The memory and the descriptors of the machine that the settings state. They are
# far below those of real machines, so that a small crowd shows the fault.
MemoryMb=128
Descriptors=1024
ulimit -n 4096

read -ra Ports <<<"$(free_ports 7)"
LogPort=${Ports[6]}
start_log "$LogPort"
wait_until 20 curl -s "http://127.0.0.1:$LogPort/"

if [ "$Kind" = control-bodies ]; then
  cat >"$Run/sidecar.ini" <<I
[node]
name = s0
data-centre = leicester
address = 127.0.0.1
memory-limit = $MemoryMb
descriptor-limit = $Descriptors
[peers]
port = ${Ports[1]}
[members]
port = ${Ports[2]}
[log]
url = http://127.0.0.1:$LogPort
[sidecar]
service = price-catalogue
calls = 127.0.0.1:${Ports[0]}
ready = 127.0.0.1:${Ports[3]}
control = 127.0.0.1:${Ports[4]}
retry-ratio = 0.1
retry-window = 10s
retry-slack = 10
I
  "$Bin/zinnia-sidecar" --settings "$Run/sidecar.ini" >"$Run/sidecar.log" 2>&1 &
  Pids+=($!)
  NodePid=$!
  Crowd=("127.0.0.1:${Ports[4]}" --path '/v1/rpc?call=instances.heartbeat&of=a')
  # No configuration is in force, so the readiness check answers 503.
  Ordinary=127.0.0.1:${Ports[3]}/v1/readyz=503
  wait_until 20 curl -s "http://127.0.0.1:${Ports[3]}/v1/readyz"
else
  NodeSettings="memory-limit = $MemoryMb"$'\n'"descriptor-limit = $Descriptors"
  CallSettings='body-limit = 8388608'
  start_node n0 leicester "${Ports[0]}" "${Ports[1]}" "${Ports[2]}" \
    "${Ports[3]}" "127.0.0.1:${Ports[2]}" "$LogPort" "${Ports[5]}"
  start_backend server-0 price-catalogue "${Ports[4]}" 6 "${Ports[3]}" 2ms
  "$Bin/zinniactl" --log "http://127.0.0.1:$LogPort" --author crowd \
    publish Data/Ashcombe/set >/dev/null
  Crowd=("127.0.0.1:${Ports[0]}" --path /prices/crowd)
  Ordinary=127.0.0.1:${Ports[0]}/prices/base-set=200
  wait_until 20 curl -sf "http://127.0.0.1:${Ports[0]}/prices/base-set"
fi

python3 Tools/scenarios/crowd.py "$Kind" --address "${Crowd[@]}" \
  --ordinary "$Ordinary" --pid "$NodePid" --memory-mb "$MemoryMb" \
  --descriptors "$Descriptors"
