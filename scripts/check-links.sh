#!/usr/bin/env bash
# Checks that every relative link in the Markdown pages names a file that exists.
set -uo pipefail
cd "$(dirname "$0")/.."
bad=0
while IFS= read -r page; do
  while IFS= read -r target; do
    case "$target" in
      http://*|https://*|\#*|"") continue ;;
    esac
    path=${target%%#*}
    if [ ! -e "$(dirname "$page")/$path" ]; then
      echo "$page: broken link: $target"
      bad=1
    fi
  done < <(grep -o '\](\([^)]*\))' "$page" | sed 's/^](//; s/)$//')
done < <(git ls-files '*.md')
exit $bad
