#!/bin/sh
# Installs missing packages of packages.apt. Needs root only if a package is missing.
set -eu
cd "$(dirname "$0")/.."
missing=""
while read -r package; do
  [ -n "$package" ] || continue
  status=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
  [ "$status" = installed ] || missing="$missing $package"
done < packages.apt
[ -n "$missing" ] || exit 0
echo "installing:$missing"
apt-get update > /dev/null
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends $missing > /dev/null
