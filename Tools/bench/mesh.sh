# Starts one near node and far nodes with a backend server each, with the set of
# the benchmarks. Sourced after Tools/cluster.sh; needs Bin and Run.

# Starts the mesh and sets Near to the near node's socket for callers.
start_mesh() { # ADMISSION SLOTS...
  Admission=$1
  shift
  local Slots=("$@") Ports Far P Version
  read -ra Ports <<<"$(free_ports $((6 * ${#Slots[@]} + 6)))"
  local Log=${Ports[0]} Seeds="127.0.0.1:${Ports[3]}"
  start_log "$Log"
  start_node near here "${Ports[1]}" "${Ports[2]}" "${Ports[3]}" \
    "${Ports[4]}" "$Seeds" "$Log" "${Ports[5]}"
  Near=127.0.0.1:${Ports[1]}
  NearAdmin=127.0.0.1:${Ports[4]}
  for Far in "${!Slots[@]}"; do
    P=$((6 * Far + 6))
    start_node "far-$Far" here "${Ports[$P]}" "${Ports[$((P + 1))]}" \
      "${Ports[$((P + 2))]}" "${Ports[$((P + 3))]}" "$Seeds" "$Log" \
      "${Ports[$((P + 4))]}"
    start_backend "server-$Far" bench "${Ports[$((P + 5))]}" "${Slots[$Far]}" \
      "${Ports[$((P + 3))]}" 5ms
  done
  wait_until 20 sees_servers "${#Slots[@]}"
  Version=$("$Bin/zinniactl" --log "http://127.0.0.1:$Log" --author bench \
    publish Tools/bench/set)
  wait_until 10 has_version "${Version##* }"
}

sees_servers() { # COUNT
  [ "$(curl -sf "http://$NearAdmin/v1/status" | grep -c '^server-')" -eq "$1" ]
}
has_version() { # VERSION
  curl -sf "http://$NearAdmin/v1/status" | grep -qx "version = $1"
}
