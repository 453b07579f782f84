#!/usr/bin/env bash
# Stops real sidecars under load and checks that no answer is lost
# (Tools/scenarios/planned-stop.py).
# Usage: planned-stop.sh CASE [OPTION...]
#        Seeds=50 planned-stop.sh soak    plays the seeds 1 to 50 in turn
set -euo pipefail
cd "$(dirname "$0")/../.."
Bin=${Bin:-$PWD/build/release/bin}
if [ -z "${Seeds:-}" ]; then
  exec python3 Tools/scenarios/planned-stop.py "$@" --bin "$Bin"
fi
Failed=()
for Seed in $(seq "$Seeds"); do
  python3 Tools/scenarios/planned-stop.py "$@" --bin "$Bin" --seed "$Seed" ||
    Failed+=("$Seed")
done
echo "failed seeds: ${Failed[*]:-none}"
[ ${#Failed[@]} -eq 0 ]
