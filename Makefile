# One virtual environment in .venv from pinned, hashed locks: the small one for the
# demo, the whole one for all else.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: all demo test lint format binary measure clean

all: lint test

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

$(VENV)/.installed-dev: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(VENV)/.installed $@

demo: $(VENV)/.installed
	$(BIN)/caperridge demo

test: $(VENV)/.installed-dev
	$(BIN)/pytest $(ARGS)

lint: $(VENV)/.installed-dev
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed-dev
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# One file of the hashed lock and this project, nothing else; docs/design/binary.md.
# hdrhistogram's metadata asks for setuptools, but nothing imports it at run time.
binary: $(VENV)/.installed-dev
	rm -rf build dist
	$(BIN)/python -m pip install --quiet --no-deps --require-hashes \
	  --only-binary :all: --no-compile --target build/site -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
	  --no-compile --target build/site --upgrade .
	rm -rf build/site/setuptools* build/site/_distutils_hack
	$(BIN)/python binary/build.py build/site dist/caperridge
	dist/caperridge --version

clean:
	rm -rf $(VENV) dist build out

# A short run of every experiment; JSON, reports and plots in out/measure.
measure: $(VENV)/.installed-dev
	$(BIN)/caperridge measure all --out out/measure
