# Targets for a machine with Go and a C compiler.
GO ?= go
SEED ?= 1
N ?= 1000
FUZZTIME ?= 10s
BIN := bin

.PHONY: build test demo matrix soak measure generate fmt vet lint links fuzz

build:
	$(GO) build -o $(BIN)/eelgrassreach ./cmd/eelgrassreach
	$(GO) build -o $(BIN)/standin ./cmd/standin

test:
	$(GO) test -race -count=1 -timeout 20m ./...

demo: build
	bash scripts/demo.sh

fmt:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

# Needs protoc; the plugins are tool dependencies of the module. The build itself
# uses the committed output.
generate:
	bash scripts/generate.sh

# Prints the fault matrix.
matrix:
	bash scripts/matrix.sh

# Long randomised runs; another seed with SEED=, another number of runs with N=.
soak:
	SEED=$(SEED) N=$(N) bash scripts/soak.sh

# Prints the measurements that docs/ quotes.
measure:
	$(GO) run ./cmd/measure -seed $(SEED) all

links:
	bash scripts/check-links.sh

# Runs each fuzz target for FUZZTIME.
fuzz:
	FUZZTIME=$(FUZZTIME) bash scripts/fuzz.sh
