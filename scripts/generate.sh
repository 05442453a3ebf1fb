#!/usr/bin/env bash
# Regenerates the code of internal/peer/peerpb with protoc and the plugins that go.mod names.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$plugins/protoc-gen-twirp" github.com/twitchtv/twirp/protoc-gen-twirp
module=github.com/eelgrassreach/eelgrassreach
PATH="$plugins:$PATH" protoc -I internal/peer/peerpb \
  --go_out=. --go_opt=module="$module" \
  --twirp_out=. --twirp_opt=module="$module" \
  internal/peer/peerpb/*.proto
