#!/usr/bin/env bash
# Formats the sources; with --check only tells which need it and fails.
set -euo pipefail
cd "$(dirname "$0")/.."
Mode=(-i)
[ "${1:-}" = --check ] && Mode=(--dry-run --Werror)
find Source platform \( -name '*.h' -o -name '*.cpp' \) -not -path '*/Generated/*' \
  -print0 | xargs -0 clang-format "${Mode[@]}"
