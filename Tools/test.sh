#!/usr/bin/env bash
# Installs what is missing, builds everything and runs every test. A test named
# in KNOWN-RED.txt is run and reported but does not fail the whole.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/build.sh >/dev/null

Known=()
if [ -e KNOWN-RED.txt ]; then
  mapfile -t Known < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
Skip=()
if [ ${#Known[@]} -gt 0 ]; then
  Skip=(-E "^($(IFS='|'; echo "${Known[*]}"))\$")
  echo "--- known red, run for the record only:"
  cat KNOWN-RED.txt
  ctest --test-dir build/release -R "^($(IFS='|'; echo "${Known[*]}"))\$" ||
    true
fi
ctest --test-dir build/release --output-on-failure "${Skip[@]}"
echo "--- the demo, whole"
Tools/demo.sh
