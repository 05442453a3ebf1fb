#!/usr/bin/env bash
# Runs `make test` and tolerates failures of exactly the tests that KNOWN-RED.txt lists.
# Prints these tests also if they pass, so that entries that are no longer needed are noticed.
set -uo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
make test 2>&1 | tee "$log"
status=${PIPESTATUS[0]}

known=$(grep -v '^#' KNOWN-RED.txt | sed '/^[[:space:]]*$/d')
if [ -n "$known" ]; then
  echo "known red:"
  echo "$known"
fi
if [ "$status" -eq 0 ]; then exit 0; fi
if [ -z "$known" ]; then exit "$status"; fi

# Package failures without a failed test (build error, panic, timeout, data race) are never tolerated.
if grep -Eq '^(panic:|WARNING: DATA RACE|FAIL.*\[(build|setup) failed\])' "$log"; then exit "$status"; fi
names=$(echo "$known" | cut -d'|' -f1 | awk '{print $2}')
unexpected=$(grep -E '^--- FAIL: ' "$log" | awk '{print $3}' | grep -vxF "$names" || true)
if [ -n "$unexpected" ]; then
  echo "unexpected failures: $unexpected"
  exit 1
fi
grep -qE '^--- FAIL: ' "$log" || exit "$status"
echo "only known red tests failed"
