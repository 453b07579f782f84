#!/usr/bin/env bash
# The latency that the path adds: a direct call to a backend server against the
# same call through a near node and a far node, both in one run; then the
# highest rate of one caller connection set through the two nodes.
# Usage: Tools/bench/path.sh [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all; rm -rf "$Run"' EXIT
Rounds=${1:-3}

read -ra P <<<"$(free_ports 12)"
start_log "${P[10]}"
Seeds="127.0.0.1:${P[2]}"
start_node near a "${P[0]}" "${P[1]}" "${P[2]}" "${P[3]}" "$Seeds" \
  "${P[10]}" "${P[4]}"
start_node far a "${P[5]}" "${P[6]}" "${P[7]}" "${P[8]}" "$Seeds" \
  "${P[10]}" "${P[9]}"
start_backend server price-catalogue "${P[11]}" 64 "${P[8]}" 0us
sees_server() {
  curl -sf "http://127.0.0.1:${P[3]}/v1/status" | grep -q '^server ='
}
wait_until 20 sees_server
"$Bin/zinniactl" --log "http://127.0.0.1:${P[10]}" publish \
  Data/Ashcombe/set >/dev/null
at_version() {
  curl -sf "http://127.0.0.1:${P[3]}/v1/status" | grep -qx 'version = 1'
}
wait_until 20 at_version

for ((Round = 1; Round <= Rounds; ++Round)); do
  echo "--- round $Round: 270 calls/s"
  timeout 60 "$Bin/zinnia-load" --direct "127.0.0.1:${P[11]}" \
    --target "127.0.0.1:${P[0]}" --path /prices/x --rate 270 --length 8s \
    --warm-up 100 --id-prefix "r$Round-" |
    grep -E '^\[|^served|p50|p99|wrong'
done
for Callers in 10 30; do
  echo "--- highest rate, $Callers callers"
  timeout 60 "$Bin/zinnia-load" --direct "127.0.0.1:${P[11]}" \
    --target "127.0.0.1:${P[0]}" --path /prices/x --closed "$Callers" \
    --length 4s --id-prefix "h$Callers-" |
    grep -E '^\[|^rate|p50|p99|result'
done
