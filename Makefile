PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run run-redda test lint check-tests check-deep fuzz slopes bench experiment clean

run: $(STAMP)
	$(BIN)/python -m examples.run --user consorcio

run-redda: $(STAMP)
	$(BIN)/python -m examples.run --user redda

test: lint check-tests

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .
	$(BIN)/mypy
	$(BIN)/python -m tools.purity
	$(BIN)/python -m tools.boundary

check-tests: $(STAMP)
	$(BIN)/python -m tests.run

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

fuzz: $(STAMP)
	FUZZ_EXAMPLES=$(or $(EXAMPLES),20000) $(BIN)/python -m tests.run tests/decoders.feature

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

experiment: $(STAMP)
	$(BIN)/python -m bench.experiment --pattern all --seeds 3

bench: $(STAMP)
	$(BIN)/python -m bench.compare

check-deep: $(STAMP)
	$(BIN)/python -m models.check

clean:
	rm -rf $(VENV) build *.egg-info
