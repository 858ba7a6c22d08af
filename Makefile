PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
SEED ?= 1

.PHONY: demo test bench format setup

setup: $(VENV)/ready

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(VENV)/ready

demo: setup
	$(RUN) -m demo

test: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8
	$(RUN) -m pytest

bench: setup
	$(RUN) -m bench.$(NAME) --seed $(SEED)

format: setup
	$(VENV)/bin/ruff format .
