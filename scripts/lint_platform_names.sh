#!/bin/sh
# Fails if a name of the platform is used outside of platform/, deploy/, their tests, journal/ and the
# platform's page, or if the adapter exceeds its size limit.
set -eu
cd "$(dirname "$0")/.."
names='/-/(ready|instances|config)|GORSEVALVE_NODE_FILE|heartbeat_url|warmup_left_ms|Server-Load'
names="$names|Not-Executed|Response-Signature|path_prefix|counts_as_loss|contact_ms|datagram_addr"
names="$names|bind_addrs|heartbeat_ms|health_check|idle_timeout_ms\"|max_conns|fleetbench"
if git grep -nE "$names" -- src tests/unit tests/sim tests/integration scripts examples CMakeLists.txt \
    ':!scripts/lint_platform_names.sh' ':!scripts/play_days.py'; then
  echo "lint: platform names used outside of platform/"
  exit 1
fi
product=$(git ls-files 'src/*.cc' 'src/*.h' | xargs cat | wc -l)
adapter=$(git ls-files 'platform/*.cc' 'platform/*.h' | xargs cat | wc -l)
echo "lint: adapter $adapter lines, product $product"
if [ $((adapter * 12)) -gt "$product" ]; then
  echo "lint: the adapter exceeds 1/12 of the lines of the product"
  exit 1
fi
