PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Tests run in this many processes, on half of the cores by default.
TEST_PROCESSES ?= $(shell echo $$(( ($$(nproc) + 1) / 2 )))

.PHONY: setup demo platform-demo test lint check-format check-style check-types format bench lab slopes mesh reclaims proofs soak

$(BIN)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --editable '.[dev,lab]'
	touch $@

setup: $(BIN)/.installed

demo: setup
	$(BIN)/python -m mallowspindle.bench.demo

platform-demo: setup
	$(BIN)/python -m mallowspindle.bench.platform_demo

test: setup
	$(BIN)/python -m pytest -q -n $(TEST_PROCESSES) --dist loadgroup

lint: check-format check-style check-types

check-format: setup
	$(BIN)/ruff format --check mallowspindle
	$(BIN)/ruff check mallowspindle

check-style: setup
	$(BIN)/flake8 mallowspindle

check-types: setup
	$(BIN)/mypy mallowspindle

format: setup
	$(BIN)/ruff check --fix mallowspindle
	$(BIN)/ruff format mallowspindle

bench: setup
	$(BIN)/python -m mallowspindle.bench.routing

lab: setup
	$(BIN)/python -m mallowspindle.lab compare

slopes: setup
	$(BIN)/python -m mallowspindle.bench.slopes

mesh: setup
	$(BIN)/python -m mallowspindle.bench.mesh 8 32 77

reclaims: setup
	$(BIN)/python -m mallowspindle.bench.reclaims

SEEDS ?= 50
soak: setup
	$(BIN)/python -m mallowspindle.soak run --seeds $(SEEDS) --jobs 4

proofs: setup
	$(BIN)/python -m pytest -v mallowspindle/tests/integration mallowspindle/tests/gateway mallowspindle/tests/effects
	$(BIN)/python -m mallowspindle.bench.reclaims
