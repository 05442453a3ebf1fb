#!/usr/bin/env bash
# Runs every randomised test with SEED and N checks each.
set -uo pipefail
cd "$(dirname "$0")/.."
packages=$(grep -rl --include='*_test.go' 'rapid\.Check\|rapid\.MakeCheck' internal | xargs -r -n1 dirname | sort -u | sed 's|^|./|')
[ -n "$packages" ] || { echo "no randomised runs found"; exit 1; }
# shellcheck disable=SC2086
SEED="${SEED:-1}" N="${N:-1000}" exec go test -count=1 -timeout 60m \
  -run '^Test(Soak|Random|Racing|Releases|SnapshotEquals)' $packages
