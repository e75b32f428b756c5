# Two commands on a fresh machine with Python 3.11 and make: `make demo` and `make test`.
# All that they install and write stays in this folder and the temporary one.

VENV := .venv-dev
PYTHON ?= python3
PY := $(VENV)/bin/python
export PIP_CACHE_DIR := $(CURDIR)/$(VENV)/cache
export PIP_DISABLE_PIP_VERSION_CHECK := 1
export MPLCONFIGDIR := $(CURDIR)/$(VENV)/matplotlib

.PHONY: demo test lint types unit setup clean

demo: setup
	$(PY) -m coraldeal rig demo

test: lint types unit

lint: setup
	$(VENV)/bin/ruff check coraldeal tests example
	$(VENV)/bin/ruff format --check coraldeal tests example

types: setup
	$(VENV)/bin/mypy

unit: setup
	$(PY) -m tests.run_all

setup: $(VENV)/.made

$(VENV)/.made: requirements.txt requirements-dev.txt requirements-rig.txt pyproject.toml
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.txt -r requirements-dev.txt -r requirements-rig.txt
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $@

clean:
	rm -rf $(VENV) results
