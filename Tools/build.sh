#!/usr/bin/env bash
# Installs missing packages and builds the project in build/release.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release
