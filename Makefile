# Targets of the project. `make help` lists them.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.DEFAULT_GOAL := help

help: ## List the targets.
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:[^#]*##/\t/' | expand -t 14

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	@touch $(STAMP)

setup: $(STAMP) ## Create the virtual environment and install everything in it.

format: setup ## Rewrite the code with black and ruff.
	$(BIN)/black --quiet knapweedhitch tests scripts
	$(BIN)/ruff check --quiet --fix knapweedhitch tests scripts

lint: setup ## Check format, lint rules and types.
	$(BIN)/black --quiet --check knapweedhitch tests scripts
	$(BIN)/ruff check --quiet knapweedhitch tests scripts
	$(BIN)/mypy

test: setup ## Run every test.
	$(BIN)/python -m tests.run

mutations: setup ## Apply each listed mutation and check that its test fails.
	$(BIN)/python -m scripts.mutations

demo: setup ## Run the choir example on loopback and take a failure domain out and back.
	$(BIN)/python -m scripts.demo

clean: ## Remove the virtual environment and the caches.
	rm -rf $(VENV) build *.egg-info .mypy_cache .ruff_cache .hypothesis

.PHONY: help setup format lint test mutations demo clean
