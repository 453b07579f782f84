# Functions that start a small mesh of stand-ins and nodes on loopback. Sourced
# by demo.sh and by benchmarks; the caller sets Bin and Run (a scratch folder).

Pids=()

# Ends what was started here, by process id. What does not end in ten seconds is
# killed, and that is a failure.
end_all() {
  local Pid End=$((SECONDS + 10)) Failed=0
  for Pid in "${Pids[@]}"; do kill -TERM "$Pid" 2>/dev/null || true; done
  for Pid in "${Pids[@]}"; do
    while kill -0 "$Pid" 2>/dev/null && [ $SECONDS -lt $End ]; do
      sleep 0.05
    done
    if kill -KILL "$Pid" 2>/dev/null; then
      echo "process $Pid did not end" >&2
      Failed=1
    fi
    wait "$Pid" 2>/dev/null || true
  done
  Pids=()
  return $Failed
}

# Prints N free port numbers. They are taken below the range from which the
# system gives ports to outgoing connections, so none is lost in between.
free_ports() {
  python3 - "$1" <<'P'
import random, socket, sys
wanted = int(sys.argv[1])
found = []
while len(found) < wanted:
    port = random.randrange(12000, 30000)
    if port in found:
        continue
    tcp, udp = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
    try:
        tcp.bind(("127.0.0.1", port))
        udp.bind(("127.0.0.1", port))
    except OSError:
        continue
    finally:
        tcp.close()
        udp.close()
    found.append(port)
print(*found)
P
}

# Waits until a command succeeds: wait_until SECONDS COMMAND...
wait_until() {
  local End=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $End ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

start_log() { # PORT [OPTIONS...]
  local Port=$1
  shift
  "$Bin/zinnia-standin-log" --port "$Port" "$@" 2>"$Run/log.log" &
  Pids+=($!)
}

# MembersSettings may hold more lines for [members].
# LogSettings may hold further lines for the section [log].
# The variable Choice names the nodes' choice policy.
# NodeExtra holds further lines of settings.
start_node() { # NAME DATA-CENTRE CALL PEER MEMBER ADMIN SEEDS LOG-PORT CONTROL
  cat >"$Run/$1.ini" <<S
[node]
name = $1
data-centre = $2
address = 127.0.0.1
[calls]
admission = ${Admission:-lanes}
port = $3
choice = ${Choice:-ours}
[peers]
port = $4
[members]
port = $5
seeds = $7
${MembersSettings:-}
[control]
port = $9
[admin]
port = $6
[log]
url = http://127.0.0.1:$8
${LogSettings:-}
${NodeExtra:-}
S
  "$Bin/zinnia-node" --settings "$Run/$1.ini" 2>"$Run/$1.log" &
  Pids+=($!)
  NodePid=$!
}

start_backend() { # NAME SERVICE PORT SLOTS ADMIN-PORT WORK
  "$Bin/zinnia-standin-backend" --name "$1" --service "$2" --port "$3" \
    --slots "$4" --node-admin "127.0.0.1:$5" --work "$6" 2>"$Run/$1.log" &
  Pids+=($!)
  BackendPid=$!
}

# How many calls the nodes whose logs are in a folder hedged: those with a second
# attempt that took at least 40 ms, the hedge-after of Ashcombe's set. They are
# idempotent and may have run twice; a call that was refused and went on is
# quicker, and ran once.
hedged_calls() { # FOLDER
  cat "$1"/*.log |
    sed -n 's/.*event=call .* attempts=\([0-9]*\) .* took-us=\([0-9]*\) .*/\1 \2/p' |
    awk '$1 > 1 && $2 >= 40000' | wc -l
}
