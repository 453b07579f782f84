#!/usr/bin/env bash
# Compares the policies for choosing a backend server with real processes on
# loopback. The backend servers take turns in being ten times slower for 400 ms
# of each second. Prints a table; the column "extra" counts retries and hedges.
# Build the project first. These variables may be set: RUNS, RATE (calls per
# second), SECONDS_EACH (length of a run) and SLOW (backend servers that are
# slowed at the same time).
set -euo pipefail
cd "$(dirname "$0")/../.."
Runs=${RUNS:-3}
Rate=${RATE:-300}
Length=${SECONDS_EACH:-8}
Slow=${SLOW:-1}
Servers=5
Bin=$PWD/build/release/bin
Run=$(mktemp -d)
source Tools/cluster.sh
SlowingPid=
trap 'stop_slowing; stop_all; rm -rf "$Run"' EXIT

# Writes the set, with hedging if HEDGES is yes.
write_set() { # HEDGES
  local Hedge="hedge-after = 8ms"
  [ "$1" = yes ] || Hedge=
  cat >"$Run/set.ini" <<S
[service s]
[retry r]
attempts = 3
budget-percent = 10
$Hedge
[kind read]
idempotent = yes
deadline = 2s
retry = r
[route all]
prefix = /
service = s
kind = read
S
}

# Multiplies the work time of a backend server by FACTOR.
set_slow_factor() { # PORT FACTOR
  curl -sf -o "$Run/faults.out" --data-binary "[faults]
slow-factor = $2" "http://127.0.0.1:$1/standin/faults"
}
# Slows the backend servers at PORT... in turn until it is killed.
slow_in_turn() { # PORT...
  local Ports=("$@") First=0 I
  while true; do
    for ((I = 0; I < Slow; ++I)); do
      set_slow_factor "${Ports[$(((First + I) % Servers))]}" 10
    done
    sleep 0.4
    for ((I = 0; I < Slow; ++I)); do
      set_slow_factor "${Ports[$(((First + I) % Servers))]}" 1
    done
    sleep 0.6
    First=$(((First + 1) % Servers))
  done
}
# Stops slow_in_turn if it runs.
stop_slowing() {
  [ -z "$SlowingPid" ] && return
  kill "$SlowingPid" 2>/dev/null || true
  wait "$SlowingPid" 2>/dev/null || true
  SlowingPid=
}

# Succeeds when every node has a version in force and lists all backend servers.
all_ready() {
  local Address Status
  for Address in "${Admin[@]}"; do
    Status=$(curl -sf "http://$Address/v1/status") || return 1
    grep -q '^version = [1-9]' <<<"$Status" || return 1
    [ "$(grep -c '^server-' <<<"$Status")" -eq $Servers ] || return 1
  done
}

# Makes one run and prints its row of the table.
measure() { # POLICY SLOWED HEDGES RUN
  local Ports I P Targets=() Backends=() Seed
  Admin=()
  Choice=$1
  write_set "$3"
  read -ra Ports <<<"$(free_ports $((Servers * 6 + 1)))"
  Seed="127.0.0.1:${Ports[2]}"
  start_log "${Ports[$((Servers * 6))]}"
  for ((I = 0; I < Servers; ++I)); do
    P=$((I * 6))
    start_node "node-$I" here "${Ports[$P]}" "${Ports[$((P + 1))]}" \
      "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" "$Seed" \
      "${Ports[$((Servers * 6))]}" "${Ports[$((P + 5))]}"
    start_backend "server-$I" s "${Ports[$((P + 4))]}" 6 \
      "${Ports[$((P + 3))]}" 5ms
    Admin+=("127.0.0.1:${Ports[$((P + 3))]}")
    Targets+=(--target "127.0.0.1:${Ports[$P]}")
    Backends+=("${Ports[$((P + 4))]}")
  done
  wait_until 20 "$Bin/zinniactl" --log "http://127.0.0.1:${Ports[-1]}" \
    --author bench publish "$Run/set.ini"
  wait_until 20 all_ready
  if [ "$2" = yes ]; then
    slow_in_turn "${Backends[@]}" &
    SlowingPid=$!
  fi
  "$Bin/zinnia-load" "${Targets[@]}" --path / --rate "$Rate" \
    --length "${Length}s" --warm-up "$Rate" --id-prefix "$1-" >"$Run/load.txt"
  stop_slowing
  report_value() { sed -n "s/^$1 //p" "$Run/load.txt"; }
  printf '%-12s %-6s %-6s %3s %6s %6s %6s %8s %8s %8s\n' "$1" "$2" "$3" "$4" \
    "$(report_value sent)" "$(report_value served)" \
    "$(report_value extra-attempts)" \
    "$(report_value p50-us)" "$(report_value p99-us)" "$(report_value p999-us)"
  stop_all
}

echo "$Servers servers of 6 slots, 5 ms work, $Slow slowed, $Rate calls/s"
printf '%-12s %-6s %-6s %3s %6s %6s %6s %8s %8s %8s\n' policy slowed hedges run sent \
  served extra p50-us p99-us p999-us
for ((RunNumber = 1; RunNumber <= Runs; ++RunNumber)); do
  measure ours no yes "$RunNumber"
  measure ours yes yes "$RunNumber"
  measure round-robin yes yes "$RunNumber"
  measure round-robin yes no "$RunNumber"
  measure random yes yes "$RunNumber"
  measure random yes no "$RunNumber"
done
