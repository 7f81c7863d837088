PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := model policy control node cli testbed
DEPLOYMENT ?= marina
SEED ?= 1
SEEDS ?= 1000
FIRST ?= 0

.PHONY: demo faults test soak process-soak bench capacity report lint wheels clean

demo: $(VENV)/ready  ## run one reference deployment as separate processes
	$(BIN)/python -m snipebay_testbed.demo --deployment $(DEPLOYMENT) --seed $(SEED)

faults: $(VENV)/ready  ## run the demo with the leader killed, an instance paused and a disk wiped
	$(BIN)/python -m snipebay_testbed.demo --deployment $(DEPLOYMENT) --seed $(SEED) --faults --seconds 16

test: $(VENV)/ready  ## run all tests
	$(BIN)/python -m snipebay_testbed.run_tests

lint: $(VENV)/ready  ## check formatting, lint rules and import contracts
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/lint-imports

soak: $(VENV)/ready  ## check the invariants with more random seeds
	$(BIN)/python -m snipebay_testbed.soak --seeds $(SEEDS)
	$(BIN)/python -m snipebay_testbed.routed_soak --seeds $(SEEDS)

process-soak: $(VENV)/ready  ## check real processes under overlapping faults
	PYTHONPATH=platform $(BIN)/python -m snipebay_soak --seeds $(SEEDS) --first $(FIRST) $(if $(OLDER),--older $(OLDER))

bench: $(VENV)/ready  ## benchmark request routing in virtual time
	$(BIN)/python -m snipebay_testbed.bench --seed $(SEED)

report: $(VENV)/ready  ## run the benchmark and write its table and plot to run/report
	$(BIN)/python -m snipebay_testbed.bench --seed $(SEED) --report run/report

capacity: $(VENV)/ready  ## measure how costs grow with size and update docs/CAPACITY.md
	$(BIN)/python -m snipebay_testbed.capacity

wheels: $(VENV)/ready  ## build a wheel of each package into dist/
	for name in $(PACKAGES); do \
	  $(BIN)/python -m build --wheel --no-isolation --outdir dist packages/snipebay-$$name || exit 1; \
	done

$(VENV)/ready: constraints.txt pyproject.toml $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt setuptools wheel build ruff import-linter
	$(BIN)/python -m pip install --quiet --no-build-isolation --constraint constraints.txt \
	  $(foreach name,$(PACKAGES),--editable packages/snipebay-$(name))
	touch $@

clean:
	rm -rf $(VENV) dist run
