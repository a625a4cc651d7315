# Each target makes its own venv in .venv from a pinned, hashed lock.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: all demo test lint format binary measure lock clean

all: lint test

$(VENV)/.installed: requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/caperridge demo

test: $(VENV)/.installed
	$(BIN)/pytest

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) dist build out

measure: $(VENV)/.installed
	$(BIN)/caperridge measure all --out out/measure
