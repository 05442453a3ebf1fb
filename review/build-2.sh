#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -buildvcs=false -o ../../target/review-standin-2 .
