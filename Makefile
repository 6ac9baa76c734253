# Targets: install, demo, test, format. Everything goes into .venv here.
PYTHON ?= python3.11
BIN := .venv/bin
PACKAGES := wire policy base forward entry agent lab
EDITABLE := $(foreach name,$(PACKAGES),-e packages/wasabideck_$(name))

.PHONY: install demo test format lint
install: .venv/installed

.venv/installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -qq -r requirements.txt
	$(BIN)/pip install -qq --no-deps --no-build-isolation $(EDITABLE)
	touch $@

demo: install
	$(BIN)/python -m wasabideck_lab demo

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

lint: install
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

test: lint
	$(BIN)/python -m pytest -q
