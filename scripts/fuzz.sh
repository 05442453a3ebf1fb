#!/usr/bin/env bash
# Runs every fuzz target for FUZZTIME, one after the other.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0
while IFS=: read -r file name; do
  echo "== $name"
  go test -run '^$' -fuzz "^$name\$" -fuzztime "${FUZZTIME:-10s}" "./$(dirname "$file")" || status=1
done < <(grep -rHoE --include='*_test.go' '^func Fuzz[A-Za-z]+' internal platform | sed 's/:func /:/')
exit $status
