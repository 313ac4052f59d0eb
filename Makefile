PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/kernel packages/policies packages/node packages/operator packages/standins platform

# Seeds of the soak, and seconds of faults in each; fresh seeds if none are given.
SEEDS ?=
LENGTH ?= 12

.PHONY: setup test soak demo bench bench-hop bench-control lint format

setup: $(STAMP)

$(STAMP): requirements.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e ./%)
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

soak: $(STAMP)
	cd tests && ../$(BIN)/python -m soak --length $(LENGTH) --folder ../target/soak $(SEEDS)

demo: $(STAMP)
	$(BIN)/python -m cassiahatch_standins.demo

bench: $(STAMP)
	$(BIN)/python -m cassiahatch_standins.bench

bench-hop: $(STAMP)
	$(BIN)/python -m cassiahatch_standins.bench_hop

bench-control: $(STAMP)
	$(BIN)/python -m cassiahatch_standins.bench_control

lint: $(STAMP)
	$(BIN)/ruff format --check packages platform tests
	$(BIN)/ruff check packages platform tests

format: $(STAMP)
	$(BIN)/ruff format packages platform tests
	$(BIN)/ruff check --fix packages platform tests
