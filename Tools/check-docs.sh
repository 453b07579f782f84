#!/usr/bin/env bash
# Fails if docs/RESULT-CODES.md or docs/SETTINGS.md differs from what the code
# generates, or if a file in the repository contains an absolute path of a
# machine. With --write it generates both pages first.
set -euo pipefail
cd "$(dirname "$0")/.."
Bin=build/release/bin
if [ "${1:-}" = --write ]; then
  "$Bin/zinnia-docs" result-codes >docs/RESULT-CODES.md
  "$Bin/zinnia-docs" settings >docs/SETTINGS.md
fi
diff <("$Bin/zinnia-docs" result-codes) docs/RESULT-CODES.md
diff <("$Bin/zinnia-docs" settings) docs/SETTINGS.md
# The pattern is written in pieces so that this line does not match itself.
if git grep -nE '(^|[^[:alnum:]])/(wor''k|far''m|tm''p)/'; then
  echo "the files above contain an absolute path of a machine" >&2
  exit 1
fi
echo "docs match the code"
