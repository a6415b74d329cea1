PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*) platform

.PHONY: setup demo demo-platform test lint format faults soak bench capacity wire clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(addprefix -e ./,$(PACKAGES))
	touch $@

demo: setup
	$(BIN)/python -m demo

demo-platform: setup
	$(BIN)/python -m demo.platform

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

faults: setup
	$(BIN)/python -m tests.faults

soak: setup
	$(BIN)/python -m tests.soak --seeds $(or $(SEEDS),1-50)

bench: setup
	$(BIN)/python -m benchmarks

capacity: setup
	$(BIN)/python -m benchmarks.capacity

wire: setup
	sh scripts/generate-wire.sh

clean:
	rm -rf $(VENV) out
