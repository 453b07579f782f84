#!/usr/bin/env bash
# Measures claims: the latency of a call with a claim, compared with that of a
# call without one and that of an append to the log, and how many calls with
# claims per second a log that accepts 300 appends per second allows.
# Prints a line for each run.
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
trap 'stop_all || true; rm -rf "$Run"' EXIT

mkdir "$Run/set"
cat >"$Run/set/all.ini" <<'S'
[service s]
[retry once]
attempts = 1
[kind claimed]
idempotent = no
deadline = 2s
retry = once
[kind free]
idempotent = yes
deadline = 2s
retry = once
[route claimed]
prefix = /claimed
service = s
kind = claimed
[route free]
prefix = /free
service = s
kind = free
S

# Starts the log, a node and its backend server, and publishes the set.
start_mesh() { # LOG-OPTIONS...
  read -ra Ports <<<"$(free_ports 7)"
  start_log "${Ports[6]}" "$@"
  start_node n1 d "${Ports[0]}" "${Ports[1]}" "${Ports[2]}" "${Ports[3]}" \
    "127.0.0.1:${Ports[2]}" "${Ports[6]}" "${Ports[5]}"
  start_backend s1 s "${Ports[4]}" 64 "${Ports[3]}" 0us
  wait_until 20 grep -q 'knows .* claims' "$Run/n1.log"
  wait_until 10 curl -sf "http://127.0.0.1:${Ports[6]}/v1/streams/x/records?from=1"
  Version=$("$Bin/zinniactl" --log "http://127.0.0.1:${Ports[6]}" \
    --author bench publish "$Run/set")
  Version=${Version##* }
  wait_until 20 mesh_ready
}
# Succeeds when Version is in force and the node lists the backend server.
mesh_ready() {
  curl -sf "http://127.0.0.1:${Ports[3]}/v1/status" >"$Run/status"
  grep -qx "version = $Version" "$Run/status" && grep -q '^s1' "$Run/status"
}
# Sends calls with idempotency keys and prints the report in one line.
run_load() { # PATH OPTIONS...
  timeout 40 "$Bin/zinnia-load" --target "127.0.0.1:${Ports[0]}" --method POST \
    --path "$@" --key yes --warm-up 20 --limit 4s --id-prefix "r$RANDOM-" \
    --ledger "127.0.0.1:${Ports[4]}" | tr '\n' ' '
  echo
}
# Prints the next offset of the stream of claims.
next_claims_offset() {
  curl -sf -D - -o /dev/null \
    "http://127.0.0.1:${Ports[6]}/v1/streams/claims/records?from=1" |
    tr -d '\r' | sed -n 's/^x-next-offset: //Ip'
}
# Appends COUNT records one after another and prints the latency.
measure_appends() { # COUNT
  python3 - "${Ports[6]}" "$1" <<'P'
import http.client, sys, time
log = http.client.HTTPConnection("127.0.0.1", int(sys.argv[1]))
latencies = []
for _ in range(int(sys.argv[2])):
    start = time.perf_counter()
    log.request("POST", "/v1/streams/bench/records", b"x" * 200)
    log.getresponse().read()
    latencies.append((time.perf_counter() - start) * 1e6)
latencies.sort()
print("p50-us %d p99-us %d" % (
    latencies[len(latencies) // 2], latencies[int(len(latencies) * 0.99)]))
P
}

for Delay in 0ms 5ms; do
  start_mesh
  curl -sf "http://127.0.0.1:${Ports[6]}/standin/faults" --data-binary \
    "[faults]
delay = $Delay" >/dev/null
  echo "log delay $Delay, append alone: $(measure_appends 300)"
  for Rate in 20 200; do
    echo "log delay $Delay, $Rate/s, no claim: $(run_load /free --rate $Rate --length 5s)"
    echo "log delay $Delay, $Rate/s, claimed: $(run_load /claimed --rate $Rate --length 5s)"
  done
  stop_all
done

for Batch in 1 10 100; do
  ExtraSettings="[claims]
batch = $Batch
interval = 3400us"
  start_mesh --append-limit 300
  OffsetBefore=$(next_claims_offset)
  echo "batch $Batch, 300 callers: $(run_load /claimed --closed 300 --length 5s)"
  echo "  appends: $(($(next_claims_offset) - OffsetBefore))"
  stop_all
done

ExtraSettings="[claims]
batch = 5
interval = 1ms"
start_mesh --append-limit 50
echo "above the limit (50 appends/s, batch 5), 600 callers: $(run_load /claimed --closed 600 --length 5s)"
echo "after the overload, 20/s: $(run_load /claimed --rate 20 --length 2s)"
stop_all
