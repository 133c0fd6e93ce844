# Every target sets up what it needs; `make test` and `make demo` work on a fresh machine.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
# Installed libraries hold machine code of one interpreter on one kind of machine.
MACHINE := $(shell $(PYTHON) -c 'import sys, sysconfig; print(sys.implementation.cache_tag, sysconfig.get_platform(), sep="-")')
STAMP := $(VENV)/.installed-$(MACHINE)

.PHONY: demo test lint format types check clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev,load]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python scripts/demo.py

test: $(STAMP)
	$(BIN)/python scripts/run_tests.py

lint: $(STAMP)
	$(BIN)/ruff format --check src tests scripts
	$(BIN)/ruff check src tests scripts

format: $(STAMP)
	$(BIN)/ruff format src tests scripts
	$(BIN)/ruff check --fix src tests scripts

types: $(STAMP)
	$(BIN)/mypy

check: lint types test

clean:
	rm -rf $(VENV)
