MODULES := mesh node ctl objects platform platform/soak stub load bench
PROGRAMS := node ctl objects platform stub load bench
export GOTOOLCHAIN := local

.PHONY: demo test bench build format lint fuzz hunt soak results capacity

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/wisteriaspoke-$$p ./$$p || exit 1; done
	@mv bin/wisteriaspoke-ctl bin/wisteriaspoke
	@go build -o bin/wisteriaspoke-soak ./platform/soak

demo: build
	@scripts/demo

format:
	@bad=$$(gofmt -l $(MODULES)); if [ -n "$$bad" ]; then echo "gofmt would change:"; echo "$$bad"; exit 1; fi

lint: format
	@for m in $(MODULES); do go vet ./$$m/... || exit 1; done
	@for m in $(MODULES); do go tool staticcheck ./$$m/... || exit 1; done

test: lint
	@scripts/test

bench: build
	@bin/wisteriaspoke-bench

# Measures anew and makes the tables of docs/CAPACITY.md; takes some minutes.
results: build
	@bin/wisteriaspoke-bench >docs/results.jsonl

capacity: build
	@{ printf '# Figures for the capacity page\n\nMade by `make capacity` from docs/results.jsonl, which `make results` measures. Bold figures miss their bound.\n'; \
	  bin/wisteriaspoke-bench --plan docs/results.jsonl; } >docs/capacity-figures.md

fuzz:
	@scripts/fuzz

hunt:
	@scripts/hunt

SEED ?= 1
FOR ?= 20s

# Plays faults on nodes that run as separate processes; SEED decides which.
soak: build
	@bin/wisteriaspoke-soak --seed $(SEED) --for $(FOR) 2>/dev/null
