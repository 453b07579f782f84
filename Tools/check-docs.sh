#!/usr/bin/env bash
# Fails when docs/RESULT-CODES.md or docs/SETTINGS.md does not match the code,
# or when a file names a path of a machine. With --write it renews both pages.
set -euo pipefail
cd "$(dirname "$0")/.."
Bin=build/release/bin
if [ "${1:-}" = --write ]; then
  "$Bin/zinnia-docs" result-codes >docs/RESULT-CODES.md
  "$Bin/zinnia-docs" settings >docs/SETTINGS.md
fi
diff <("$Bin/zinnia-docs" result-codes) docs/RESULT-CODES.md
diff <("$Bin/zinnia-docs" settings) docs/SETTINGS.md
# The pattern is split so that this line does not match itself.
if git grep -nE '(^|[^[:alnum:]])/(wor''k|far''m|tm''p)/'; then
  echo "a path of a machine stands in the repository" >&2
  exit 1
fi
echo "docs match the code"
