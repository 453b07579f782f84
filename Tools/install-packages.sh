#!/usr/bin/env bash
# Installs the compilers, tools and libraries that the project needs, on Debian.
# Does nothing if all of them are installed.
set -euo pipefail

Packages=(
  g++ cmake ninja-build ccache pkg-config git curl
  clang-format clang-tidy python3
  libace-dev libthrift-dev thrift-compiler
  libboost-dev libboost-test-dev
  libcurl4-openssl-dev libmicrohttpd-dev
  nlohmann-json3-dev
  libpopt-dev libspdlog-dev libinih-dev liblua5.4-dev
  libxxhash-dev libzstd-dev
)

Missing=()
for Package in "${Packages[@]}"; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null |
    grep -q 'install ok installed' || Missing+=("$Package")
done
[ ${#Missing[@]} -eq 0 ] && exit 0

Sudo=""
[ "$(id -u)" -eq 0 ] || Sudo=sudo
export DEBIAN_FRONTEND=noninteractive
$Sudo apt-get update -qq
$Sudo apt-get install -y -qq --no-install-recommends "${Missing[@]}" \
  >/dev/null
