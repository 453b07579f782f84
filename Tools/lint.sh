#!/usr/bin/env bash
# Lints the given sources, or all of them, with clang-tidy and the rules in
# .clang-tidy. Skips a file that was clean before if neither the file, nor the
# project's headers that it includes, nor the rules have changed since.
# Usage: Tools/lint.sh [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
Build=build/release
Cache=build/lint
mkdir -p "$Cache"
Files=("$@")
if [ ${#Files[@]} -eq 0 ]; then
  mapfile -t Files < <(find Source platform -name '*.cpp' -not -path '*/Generated/*')
fi

lint_one() {
  local File=$1 Key Dependencies
  # The file and the project's headers that it includes directly or indirectly.
  Dependencies=$(g++ -std=c++20 -MM -MG -ISource/Core -ISource -Iplatform \
    -ISource/Core/Wire/Generated -DZINNIA_VERSION='""' "$File" |
    tr -d '\\\n' | tr ' ' '\n' | grep -E '^(Source|platform)/' | sort -u)
  # Without them all files would have the same key, and one clean file would
  # stand for all.
  if [ -z "$Dependencies" ]; then
    echo "lint: no dependencies found for $File" >&2
    return 1
  fi
  Key=$(cat .clang-tidy $Dependencies | sha256sum | cut -c1-32)
  [ -e "$Cache/$Key" ] && return 0
  if clang-tidy -p "$Build" --quiet "$File" 2>/dev/null; then
    touch "$Cache/$Key"
  else
    return 1
  fi
}
export -f lint_one
export Build Cache
printf '%s\0' "${Files[@]}" |
  xargs -0 -P "$(nproc)" -I{} bash -c 'lint_one "$1"' lint {}
echo "lint: ${#Files[@]} files are clean"
