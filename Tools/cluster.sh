# Functions that start a small mesh of nodes and stand-ins on loopback. The
# demo, the scenarios and the benchmarks source this file. They set Bin, the
# folder of the programs, and Run, a temporary folder for settings and logs.

# Processes that the functions below have started.
Pids=()

# Stops all processes in Pids with SIGTERM. Kills those that have not exited
# after ten seconds and fails if there were any.
stop_all() {
  local Pid Deadline=$((SECONDS + 10)) Failed=0
  for Pid in "${Pids[@]}"; do kill -TERM "$Pid" 2>/dev/null || true; done
  for Pid in "${Pids[@]}"; do
    while kill -0 "$Pid" 2>/dev/null && [ $SECONDS -lt $Deadline ]; do
      sleep 0.05
    done
    if kill -KILL "$Pid" 2>/dev/null; then
      echo "process $Pid did not exit within 10 s after SIGTERM; killed" >&2
      Failed=1
    fi
    wait "$Pid" 2>/dev/null || true
  done
  Pids=()
  return $Failed
}

# Prints COUNT ports that are free for TCP and UDP. They are below the range of
# ephemeral ports, so no outgoing connection can take one before it is used.
free_ports() { # COUNT
  python3 - "$1" <<'P'
import random, socket, sys
count = int(sys.argv[1])
ports = []
while len(ports) < count:
    port = random.randrange(12000, 30000)
    if port in ports:
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
    ports.append(port)
print(*ports)
P
}

# Repeats a command until it succeeds. Fails after SECONDS without success.
wait_until() { # SECONDS COMMAND...
  local Deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $Deadline ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

# Starts the stand-in for the log.
start_log() { # PORT [OPTIONS...]
  local Port=$1
  shift
  "$Bin/zinnia-standin-log" --port "$Port" "$@" 2>"$Run/log.log" &
  Pids+=($!)
}

# Starts a node and sets NodePid to its process id. These variables may be set:
#   Admission        order of the admission queue, lanes by default
#   Choice           policy for choosing a backend server, ours by default
#   MembersSettings  additional lines of the section [members]
#   LogSettings      additional lines of the section [log]
#   CallSettings     additional lines of the section [calls]
#   NodeSettings     additional lines of the section [node]
#   ExtraSettings    additional sections
#   NodeLimits       options of ulimit for the process
start_node() { # NAME DATA-CENTRE CALL PEER MEMBER ADMIN SEEDS LOG-PORT CONTROL
  cat >"$Run/$1.ini" <<S
[node]
name = $1
data-centre = $2
address = 127.0.0.1
${NodeSettings:-}
[calls]
${CallSettings:-}
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
${ExtraSettings:-}
S
  (
    [ -z "${NodeLimits[*]:-}" ] || ulimit -S "${NodeLimits[@]}"
    exec "$Bin/zinnia-node" --settings "$Run/$1.ini" 2>"$Run/$1.log"
  ) &
  Pids+=($!)
  NodePid=$!
}

# Starts a stand-in backend server, which registers with the node at ADMIN-PORT,
# and sets BackendPid to its process id. WORK is the time that a call takes.
start_backend() { # NAME SERVICE PORT SLOTS ADMIN-PORT WORK
  "$Bin/zinnia-standin-backend" --name "$1" --service "$2" --port "$3" \
    --slots "$4" --node-admin "127.0.0.1:$5" --work "$6" 2>"$Run/$1.log" &
  Pids+=($!)
  BackendPid=$!
}

# Prints how many calls were hedged by the nodes whose logs are in FOLDER. These
# are the calls with more than one attempt that took at least 40 ms, which is
# hedge-after in Ashcombe's set. They are idempotent and may have run twice. A
# call that one server refused and another one accepted takes less time and runs
# once.
hedged_calls() { # FOLDER
  cat "$1"/*.log |
    sed -n 's/.*event=call .* attempts=\([0-9]*\) .* took-us=\([0-9]*\) .*/\1 \2/p' |
    awk '$1 > 1 && $2 >= 40000' | wc -l
}

# Whether an expectation was not met: 1 after the first failed one.
Failed=0
# Compares a value with a regular expression and prints the outcome.
expect() { # NAME PATTERN ACTUAL
  if [[ $3 =~ ^($2)$ ]]; then
    echo "ok: $1: $3"
  else
    echo "FAILED: $1: expected $2, got $3"
    Failed=1
  fi
}

# Prints an idempotency key, which starts with the current time.
make_key() { # NAME
  echo "$(date +%s%3N)-$1"
}
