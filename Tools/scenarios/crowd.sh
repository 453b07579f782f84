#!/usr/bin/env bash
# A crowd of clients that nobody controls sends requests of legal size to a node
# (Tools/scenarios/crowd.py). The node must live, stay within its memory and its
# descriptors, and go on answering ordinary callers.
# Usage: crowd.sh KIND [MEMORY-MB]
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=${Bin:-$PWD/build/release/bin}
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all || true; rm -rf "$Run"' EXIT
Kind=$1
# The memory and the descriptors of the machine that the settings state. They are
# far below those of real machines, so that a small crowd shows the fault.
MemoryMb=${2:-128}
Descriptors=1024
ulimit -S -n 4096
NodeSettings="memory-limit = $MemoryMb"$'\n'"descriptor-limit = $Descriptors"

read -ra Ports <<<"$(free_ports 12)"
LogPort=${Ports[6]}
start_log "$LogPort"
wait_until 20 curl -s "http://127.0.0.1:$LogPort/"

start_sidecar() {
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
[admin]
port = ${Ports[5]}
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
  NodePids=($!)
  # No configuration is in force, so the readiness check answers 503.
  Ordinary=("127.0.0.1:${Ports[3]}/v1/readyz=503"
    "127.0.0.1:${Ports[5]}/v1/status=200")
  wait_until 20 curl -s "http://127.0.0.1:${Ports[3]}/v1/readyz"
}

# A node with the backend server beside it, or beside a second node.
start_mesh() { # REMOTE
  CallSettings='body-limit = 8388608'
  start_node n0 leicester "${Ports[0]}" "${Ports[1]}" "${Ports[2]}" \
    "${Ports[3]}" "127.0.0.1:${Ports[2]}" "$LogPort" "${Ports[5]}"
  NodePids=("$NodePid")
  local Admin=${Ports[3]}
  if [ "$1" = yes ]; then
    Admin=${Ports[10]}
    start_node n1 leicester "${Ports[7]}" "${Ports[8]}" "${Ports[9]}" \
      "$Admin" "127.0.0.1:${Ports[2]}" "$LogPort" "${Ports[11]}"
    NodePids+=("$NodePid")
  fi
  start_backend server-0 price-catalogue "${Ports[4]}" 6 "$Admin" 2ms
  "$Bin/zinniactl" --log "http://127.0.0.1:$LogPort" --author crowd \
    publish Data/Ashcombe/set >/dev/null
  Crowd=("127.0.0.1:${Ports[0]}" /prices/crowd)
  Ordinary=("127.0.0.1:${Ports[0]}/prices/base-set=200")
  wait_until 20 curl -sf "http://127.0.0.1:${Ports[0]}/prices/base-set"
}

# Plays one kind of crowd and checks all processes.
play() { # KIND ADDRESS PATH
  python3 Tools/scenarios/crowd.py "$1" --address "$2" --path "$3" \
    --ordinary "${Ordinary[@]}" --pid "${NodePids[@]}" \
    --memory-mb "$MemoryMb" --descriptors "$Descriptors"
}

# Several crowds at once, at a node and at the one beside the server.
play_mixed() {
  local Pids=() Pid Failed=0
  play medium-chunks "127.0.0.1:${Ports[0]}" /prices/a & Pids+=($!)
  play remote-bodies "127.0.0.1:${Ports[0]}" /prices/a & Pids+=($!)
  play remote-answers "127.0.0.1:${Ports[0]}" /prices/a & Pids+=($!)
  play byte-chunks "127.0.0.1:${Ports[7]}" /prices/a & Pids+=($!)
  play unread-answers "127.0.0.1:${Ports[7]}" /prices/a & Pids+=($!)
  play admin-bodies "127.0.0.1:${Ports[10]}" /v1/servers & Pids+=($!)
  for Pid in "${Pids[@]}"; do wait "$Pid" || Failed=1; done
  return $Failed
}

case "$Kind" in
control-bodies)
  start_sidecar
  Crowd=("127.0.0.1:${Ports[4]}" '/v1/rpc?call=instances.heartbeat&of=a')
  ;;
ready-bodies)
  start_sidecar
  Crowd=("127.0.0.1:${Ports[3]}" /v1/readyz)
  ;;
admin-*)
  start_sidecar
  Crowd=("127.0.0.1:${Ports[5]}" /v1/servers)
  ;;
remote-*) start_mesh yes ;;
mixed)
  # The crowds together open more connections than each of them.
  Descriptors=2048
  NodeSettings="memory-limit = $MemoryMb"$'\n'"descriptor-limit = $Descriptors"
  start_mesh yes
  ;;
unstated-connections)
  # The process may open fewer descriptors than the settings say. It has to keep
  # some of them for what it opens itself.
  NodeLimits=(-n 256)
  Descriptors=255
  start_mesh no
  ;;
*) start_mesh no ;;
esac

if [ "$Kind" = mixed ]; then
  play_mixed
else
  play "$Kind" "${Crowd[@]}"
fi
