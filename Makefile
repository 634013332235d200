PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
UV := $(BIN)/uv

.PHONY: demo demo-platform soak test lint format typecheck unit clean

$(VENV)/.synced: pyproject.toml $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	test -x $(UV) || $(BIN)/python -m pip install --quiet uv==0.13.9
	UV_PROJECT_ENVIRONMENT=$(VENV) $(UV) sync --quiet --inexact --python $(BIN)/python
	touch $@

demo: $(VENV)/.synced
	$(BIN)/python examples/demo.py $(if $(KEEP),--keep)
	$(if $(KEEP),,$(BIN)/python examples/platform_demo.py)

demo-platform: $(VENV)/.synced
	$(BIN)/python examples/platform_demo.py

soak: $(VENV)/.synced
	$(BIN)/python -m soak.run --seeds $(or $(SEEDS),1-50) --draw $(or $(DRAW),faults)

test: lint typecheck unit

lint: $(VENV)/.synced
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

typecheck: $(VENV)/.synced
	$(BIN)/mypy

unit: $(VENV)/.synced
	$(BIN)/python -m pytest -n 4

format: $(VENV)/.synced
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV)
