#!/usr/bin/env bash
# Measures the latency that the mesh adds. Each round compares calls that go
# directly to a backend server with calls through a caller-side node (near) and
# a server-side node (far). Then measures the highest rate that 10 and 30
# concurrent callers reach through the two nodes.
# Usage: Tools/bench/path.sh [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all; rm -rf "$Run"' EXIT
Rounds=${1:-3}

read -ra Ports <<<"$(free_ports 12)"
start_log "${Ports[10]}"
Seeds="127.0.0.1:${Ports[2]}"
start_node near a "${Ports[0]}" "${Ports[1]}" "${Ports[2]}" "${Ports[3]}" \
  "$Seeds" "${Ports[10]}" "${Ports[4]}"
start_node far a "${Ports[5]}" "${Ports[6]}" "${Ports[7]}" "${Ports[8]}" "$Seeds" \
  "${Ports[10]}" "${Ports[9]}"
start_backend server price-catalogue "${Ports[11]}" 64 "${Ports[8]}" 0us
# Succeeds when the caller-side node lists the backend server.
shows_server() {
  curl -sf "http://127.0.0.1:${Ports[3]}/v1/status" | grep -q '^server ='
}
wait_until 20 shows_server
"$Bin/zinniactl" --log "http://127.0.0.1:${Ports[10]}" publish \
  Data/Ashcombe/set >/dev/null
# Succeeds when the set is in force on the caller-side node.
at_version() {
  curl -sf "http://127.0.0.1:${Ports[3]}/v1/status" | grep -qx 'version = 1'
}
wait_until 20 at_version

for ((Round = 1; Round <= Rounds; ++Round)); do
  echo "--- round $Round: 270 calls/s"
  timeout 60 "$Bin/zinnia-load" --direct "127.0.0.1:${Ports[11]}" \
    --target "127.0.0.1:${Ports[0]}" --path /prices/x --rate 270 --length 8s \
    --warm-up 100 --id-prefix "r$Round-" |
    grep -E '^\[|^served|p50|p99|wrong'
done
for Callers in 10 30; do
  echo "--- highest rate, $Callers callers"
  timeout 60 "$Bin/zinnia-load" --direct "127.0.0.1:${Ports[11]}" \
    --target "127.0.0.1:${Ports[0]}" --path /prices/x --closed "$Callers" \
    --length 4s --id-prefix "h$Callers-" |
    grep -E '^\[|^rate|p50|p99|result'
done
