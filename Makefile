# Every target works on a fresh machine with Go and a C compiler.

export GOFLAGS := -buildvcs=false
BIN := bin

.PHONY: build test demo measure faults soak crowd two-builds capacity generate clean

build: ## build the three programs into bin/
	go build -o $(BIN)/ ./cmd/...

test: ## formatter, vet, staticcheck, linkage, all tests
	bash scripts/test.sh

demo: build ## a small fleet on this machine, serving real requests
	bash scripts/demo.sh

measure: build ## the measures of the brief, baseline beside current
	bash scripts/measure.sh

faults: ## the fault matrix
	go test -count=1 -v -run "TestMatrix$$" ./internal/faults/ ./internal/orders/

SEEDS ?= 1-50
soak: ## processes struck with faults in the order of each seed, and mutations: SEEDS=1-50
	go test -count=1 -timeout 60m -parallel 4 -run "TestSoak$$" ./platform/soak -seeds $(SEEDS)
	go test -count=1 -timeout 20m -run "TestMutations$$" ./platform/soak -mutations

crowd: ## clients that keep to no limit against a router process, one crowd at a time
	go test -count=1 -v -p 1 -parallel 1 -timeout 30m ./platform/crowd -whole

two-builds: build ## a fleet rolled between this build and another one: OTHER=folder with its jujubeford
	bash scripts/two-builds.sh $(OTHER)
	go test -count=1 -timeout 60m -parallel 4 -run "TestSoak$$|TestExplain" ./platform/soak -seeds $(SEEDS) -other $(abspath $(OTHER))

capacity: build ## the slopes of docs/CAPACITY.md
	bash scripts/capacity.sh

generate: ## the generated code, from its sources (needs protoc)
	go build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=protoc-gen-go=$(BIN)/protoc-gen-go --go_out=. \
		--go_opt=module=github.com/jujubeford/jujubeford internal/wire/wire.proto

clean:
	rm -rf $(BIN) out
