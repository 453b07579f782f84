#!/usr/bin/env bash
# A backend server sends status lines that are none of HTTP. Neither the node
# beside it nor a remote one may pass them on (Tools/scenarios/status-lines.py).
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=${Bin:-$PWD/build/release/bin}
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all || true; rm -rf "$Run"' EXIT

read -ra Ports <<<"$(free_ports 11)"
LogPort=${Ports[10]}
start_log "$LogPort"
wait_until 20 curl -s "http://127.0.0.1:$LogPort/"
start_node n0 leicester "${Ports[0]}" "${Ports[1]}" "${Ports[2]}" "${Ports[3]}" \
  "127.0.0.1:${Ports[2]}" "$LogPort" "${Ports[4]}"
start_node n1 leicester "${Ports[5]}" "${Ports[6]}" "${Ports[7]}" "${Ports[8]}" \
  "127.0.0.1:${Ports[2]}" "$LogPort" "${Ports[9]}"
"$Bin/zinniactl" --log "http://127.0.0.1:$LogPort" --author status-lines \
  publish Data/Ashcombe/set >/dev/null

timeout 80 python3 Tools/scenarios/status-lines.py \
  --admin "127.0.0.1:${Ports[3]}" \
  --node "127.0.0.1:${Ports[0]}" "127.0.0.1:${Ports[5]}"
