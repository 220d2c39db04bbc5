# Daily commands. CI runs tools, format-check, lint and test.
GOLANGCI_VERSION := v2.12.2
GOBIN ?= $(shell go env GOPATH)/bin
GOLANGCI := $(GOBIN)/golangci-lint

.PHONY: build tools format format-check lint test demo measure-config measure-requests capacity

build:
	go build -o bin/jasmineproxy .
	go build -o bin/bench ./tools/bench

tools:
	@$(GOLANGCI) version 2>/dev/null | grep -q "$(GOLANGCI_VERSION:v%=%)" || \
		GOBIN=$(GOBIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

format:
	$(GOLANGCI) fmt ./...

format-check:
	@difference="$$($(GOLANGCI) fmt --diff ./...)"; \
	if [ -n "$$difference" ]; then echo "$$difference"; echo "run make format"; exit 1; fi

lint:
	$(GOLANGCI) run ./...

test:
	go vet ./...
	go test -race -count=1 ./...

demo: build
	scripts/demo

measure-config: build
	bin/bench config $(if $(QUICK),--quick)

measure-requests: build
	bin/bench requests $(if $(QUICK),--quick)

capacity: build
	bin/bench capacity
