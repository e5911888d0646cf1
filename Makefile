GOLANGCI_VERSION := v2.15.0
BUF_VERSION      := v1.75.0
GOBIN            := $(shell go env GOPATH)/bin

.PHONY: test lint fmt fuzz soak bench gen tools build

# All tests, with the race detector.
test:
	go test -race -count=1 ./...

build:
	go build -o bin/chivecroft ./cmd/chivecroft

$(GOBIN)/golangci-lint:
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

# Formatter and linter; changes nothing.
lint: $(GOBIN)/golangci-lint
	$(GOBIN)/golangci-lint fmt --diff
	$(GOBIN)/golangci-lint run

fmt: $(GOBIN)/golangci-lint
	$(GOBIN)/golangci-lint fmt

# Packages with state machines of rapid, which have its flags.
RAPID := $(shell grep -ln pgregory.net/rapid -r internal --include='*_test.go' | xargs -n1 dirname | sort -u | sed 's,^,./,')
SEED  ?= 0

# Longer runs of the state machines, with a seed of their own unless SEED is
# given, and of the native fuzz targets.
fuzz:
	go test -count=1 -timeout 60m $(RAPID) -rapid.checks=2000 -rapid.seed=$(SEED)
	go test ./internal/state/config -run '^$$' -fuzz FuzzParsePatch -fuzztime 60s
	go test ./internal/state/config -run '^$$' -fuzz FuzzStored -fuzztime 60s
	go test ./internal/coordination/place -run '^$$' -fuzz Fuzz -fuzztime 60s
	go test ./internal/params -run '^$$' -fuzz Fuzz -fuzztime 60s
	go test ./internal/transport/engine -run '^$$' -fuzz Fuzz -fuzztime 60s
	go test ./internal/transport/proxy -run '^$$' -fuzz FuzzEvents -fuzztime 60s
	go test ./internal/transport/accept -run '^$$' -fuzz FuzzConn -fuzztime 60s
	go test ./platform -run '^$$' -fuzz FuzzEntries -fuzztime 60s
	go test ./platform -run '^$$' -fuzz FuzzStoreReplies -fuzztime 60s

# The soak: seeded disturbances against real processes. SEEDS seeds from FIRST on, SIDE
# of them side by side; LOGS names a folder that keeps the instances' logs.
SEEDS ?= 50
FIRST ?= 1
SIDE  ?= 3
LOGS  ?=
soak:
	go test ./cmd/chivecroft -count=1 -timeout 120m -run TestSoak -v -args \
		-soak.seeds $(SEEDS) -soak.first $(FIRST) -soak.side $(SIDE) -soak.logs "$(LOGS)"

# The load tool, the comparison of policies and the slopes of the capacity page.
bench:
	go run ./cmd/chivecroft bench run
	go run ./cmd/chivecroft bench policy
	go run ./cmd/chivecroft bench slopes

# Tools that make the committed generated code; not needed for a build.
tools:
	go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.20.0
	go install goa.design/goa/v3/cmd/goa@v3.25.3

gen: tools
	PATH="$(GOBIN):$$PATH" buf generate
	PATH="$(GOBIN):$$PATH" goa gen chivecroft.example/chivecroft/api/design -o api
