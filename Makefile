GO ?= go

.PHONY: all fmt lint gen tests fuzz bench days clean

all: shallotpaddle

shallotpaddle: $(shell find . -name '*.go' -not -name '*_test.go') go.mod
	$(GO) build -o $@ .

fmt:
	$(GO) tool gofumpt -w $$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^gen/')

lint:
	test -z "$$($(GO) tool gofumpt -l $$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^gen/') | tee /dev/stderr)"
	$(GO) vet ./...
	$(GO) tool revive -config revive.toml -set_exit_status -exclude ./gen/... ./...

gen:
	$(GO) tool goa gen shallotpaddle/design
	$(GO) tool gofumpt -w gen

tests:
	$(GO) test -count=1 -timeout 20m ./...

bench:
	$(GO) run ./bench

# days plays days of the users' deployments on their bench: BENCH is its program, KIT
# the folder of the deployments' files.
SITES ?= large/bula-diary-large further/tanglaw-sched further-grown/tanglaw-sched-grown \
	grown/bula-diary-grown grown/prb-sched-grown sites/prb-sched
DAYS ?= 8
JOBS ?= 3

days:
	@if [ ! -x "$(BENCH)" ] || [ ! -d "$(KIT)" ]; then \
		echo "days: not played, as the bench is not here; set BENCH and KIT"; \
	else \
		for s in $(SITES); do "$(BENCH)" hunt "$(KIT)/$$s.toml" --days $(DAYS) --jobs $(JOBS) --why "regression" || exit 1; done; \
	fi

clean:
	rm -f shallotpaddle
