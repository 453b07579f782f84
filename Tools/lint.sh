#!/usr/bin/env bash
# Lints the given sources, or all of them, by the rules in .clang-tidy. A file
# that was clean with the same content and headers is not linted again.
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
  local File=$1 Key Depends
  # The project's own headers that the file includes, directly or not.
  Depends=$(clang++ -std=c++20 -MM -MG -ISource/Core -ISource -Iplatform \
    -ISource/Core/Wire/Generated -DZINNIA_VERSION='""' "$File" 2>/dev/null |
    tr -d '\\\n' | tr ' ' '\n' | grep -E '^(Source|platform)/' | sort -u)
  Key=$(cat .clang-tidy $Depends | sha256sum | cut -c1-32)
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
