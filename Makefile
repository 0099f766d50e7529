# The commands of a working day; CI runs the same ones.

GO ?= go

.PHONY: all build fmt vet lint test

all: fmt vet lint build test

build:
	$(GO) build ./...

fmt:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

test:
	$(GO) test -race -count=1 ./...

# Renames an identifier in every package: make rename AT=FILE:LINE:COLUMN TO=NAME.
.PHONY: rename
GOPLS ?= $(GO) run golang.org/x/tools/gopls@v0.23.0
rename:
	$(GOPLS) rename -w $(AT) $(TO)

# Nodes in processes of their own with faults drawn from seeds, for as long as is
# said. Many seeds: SOAK_SEEDS="$(seq 1 50)".
# SOAK_PLANNED=1 has planned work alone. Failed runs say where their logs are.
.PHONY: soak
SOAK ?= 60s
SOAK_SEED ?= $(shell date +%s)
SOAK_SEEDS ?= $(SOAK_SEED)
SOAK_PLANNED ?=
soak:
	YARDBRIDGE_TEST_SOAK=$(SOAK) YARDBRIDGE_TEST_SOAK_SEEDS="$(strip $(SOAK_SEEDS))" YARDBRIDGE_TEST_SOAK_PLANNED=$(SOAK_PLANNED) \
		$(GO) test -race -count=1 -timeout 0 -run '^TestSoak$$' -v ./platform

# Random days of a fleet of this size, two at once: each takes one processor for one to two
# minutes and 0.7 GB at 500 nodes.
.PHONY: large
LARGE_NODES ?= 500
LARGE_INSTANCES ?= 6000
LARGE_SEEDS ?= 4
large:
	YARDBRIDGE_TEST_NODES=$(LARGE_NODES) YARDBRIDGE_TEST_INSTANCES=$(LARGE_INSTANCES) YARDBRIDGE_TEST_SEEDS=$(LARGE_SEEDS) \
		$(GO) test -count=1 -timeout 0 -parallel 2 -run '^TestRandomDaysOfALargeFleet$$' -v ./node

# Figures in docs/ come from these files only; see docs/CAPACITY.md. The long
# runs are made once, the short ones five times.
MEASURED := docs/measurements
HEADER = { echo "date: $$(date -u +%F)"; echo "commit: $$(git rev-parse --short HEAD)"; echo "cores: $$(nproc)"; echo; }
BENCH = $(GO) test -timeout 30m -run '^$$' -benchtime 1x ./benchmarks -bench

.PHONY: measure capacity
measure: $(addprefix measure-,state requests promises control)

.PHONY: measure-state measure-requests measure-promises measure-control
measure-state: RUNS = 'Fold|Snapshot|Assign|Place|Reports' -count 5
measure-requests: RUNS = 'Request|Overload|RetryStorm'
measure-promises: RUNS = 'Maintain|Buffer|JobMoves|Urgent|Sizes|Once|Rollout|Leaving'
measure-control: RUNS = 'Control|Membership'
measure-state measure-requests measure-promises measure-control: measure-%:
	@mkdir -p $(MEASURED)
	{ $(HEADER); $(BENCH) $(RUNS); } > $(MEASURED)/$*.txt

capacity:
	$(GO) run ./tools/capacity
