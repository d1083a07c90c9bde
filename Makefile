PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo platform-demo test lint format bench lab slopes mesh reclaims proofs

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
	$(BIN)/python -m pytest -q

lint: setup
	$(BIN)/ruff format --check mallowspindle
	$(BIN)/ruff check mallowspindle
	$(BIN)/flake8 mallowspindle
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

proofs: setup
	$(BIN)/python -m pytest -v mallowspindle/tests/integration mallowspindle/tests/gateway mallowspindle/tests/effects
	$(BIN)/python -m mallowspindle.bench.reclaims
