#!/usr/bin/env bash
# Runs the matrix tests and prints the table. Red cells must be listed in KNOWN-RED.txt.
set -uo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
go test -count=1 -v -run '^TestMatrix' ./... > "$log" 2>&1
status=$?
if [ "$status" -ne 0 ]; then grep -E '^(\s*--- FAIL|FAIL|panic:)' "$log"; fi
go run ./internal/faultmatrix/report < "$log"
exit $status
