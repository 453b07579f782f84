#!/usr/bin/env bash
# Formats the C++ sources with clang-format. With --check it changes nothing,
# reports the files that aren't formatted and fails if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."
Mode=(-i)
[ "${1:-}" = --check ] && Mode=(--dry-run --Werror)
find Source platform \( -name '*.h' -o -name '*.cpp' \) -not -path '*/Generated/*' \
  -print0 | xargs -0 clang-format "${Mode[@]}"
