#!/bin/sh
# Runs clang-format and clang-tidy over all sources. Fails on any finding.
# clang-tidy skips sources that passed before, until they, a header or the configuration change.
set -eu
cd "$(dirname "$0")/.."
build=$1
git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror
stamps="$build/tidy"
mkdir -p "$stamps"
common=$(git ls-files '*.h' .clang-tidy CMakeLists.txt | xargs cat | sha256sum | cut -c1-16)
git ls-files '*.cc' | while read -r source; do
  stamp="$stamps/$(cat "$source" | sha256sum | cut -c1-16)-$common"
  [ -e "$stamp" ] || echo "$source $stamp"
done > "$stamps/todo"
# shellcheck disable=SC2016
xargs -r -P "$(nproc)" -L 1 sh -c \
  'clang-tidy --quiet -p "$0" "$1" 2>/dev/null && touch "$2"' "$build" < "$stamps/todo"
scripts/lint_platform_names.sh
echo "lint: clean"
