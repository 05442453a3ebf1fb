#!/usr/bin/env bash
# Runs every randomised test whose name begins with TestSoak, with SEED and N checks.
set -uo pipefail
cd "$(dirname "$0")/.."
packages=$(grep -rl --include='*_test.go' '^func TestSoak' . | xargs -r -n1 dirname | sort -u)
[ -n "$packages" ] || { echo "no randomised runs found"; exit 1; }
# shellcheck disable=SC2086
exec go test -count=1 -timeout 60m -run '^TestSoak' $packages -rapid.seed="${SEED:-1}" -rapid.checks="${N:-1000}"
