# Starts a mesh for the benchmarks. Source it after Tools/cluster.sh; it needs
# Bin and Run.

# Starts the log, a caller-side node (near), one server-side node (far-N) with a
# backend server for each number of SLOTS, and publishes the benchmarks' set.
# Sets CallerNode to the address for calls and CallerAdmin to the admin address
# of the caller-side node. ADMISSION is the order of the admission queue.
start_mesh() { # ADMISSION SLOTS...
  Admission=$1
  shift
  local Slots=("$@") Ports I P Version
  read -ra Ports <<<"$(free_ports $((6 * ${#Slots[@]} + 6)))"
  local LogPort=${Ports[0]} Seeds="127.0.0.1:${Ports[3]}"
  start_log "$LogPort"
  start_node near here "${Ports[1]}" "${Ports[2]}" "${Ports[3]}" \
    "${Ports[4]}" "$Seeds" "$LogPort" "${Ports[5]}"
  CallerNode=127.0.0.1:${Ports[1]}
  CallerAdmin=127.0.0.1:${Ports[4]}
  for I in "${!Slots[@]}"; do
    P=$((6 * I + 6))
    start_node "far-$I" here "${Ports[$P]}" "${Ports[$((P + 1))]}" \
      "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" "$Seeds" "$LogPort" \
      "${Ports[$((P + 4))]}"
    start_backend "server-$I" bench "${Ports[$((P + 5))]}" "${Slots[$I]}" \
      "${Ports[$((P + 3))]}" 5ms
  done
  wait_until 20 shows_servers "${#Slots[@]}"
  Version=$("$Bin/zinniactl" --log "http://127.0.0.1:$LogPort" --author bench \
    publish Tools/bench/set)
  wait_until 10 has_version "${Version##* }"
}

# Succeeds when the caller-side node lists COUNT backend servers.
shows_servers() { # COUNT
  [ "$(curl -sf "http://$CallerAdmin/v1/status" | grep -c '^server-')" -eq "$1" ]
}
# Succeeds when VERSION is in force on the caller-side node.
has_version() { # VERSION
  curl -sf "http://$CallerAdmin/v1/status" | grep -qx "version = $1"
}
