PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

.PHONY: test lint demo faults soak measure capacity clean

# Number of soaks; each takes half a minute and a quarter of a core.
SEEDS ?= 50

$(STAMP): requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest -q

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

demo: $(STAMP)
	$(BIN)/python -m currantline.standin.demo

faults: $(STAMP)
	$(BIN)/python -m currantline.standin.faults

soak: $(STAMP)
	$(BIN)/python -m currantline.soak --seeds=$(SEEDS)

measure: $(STAMP)
	$(BIN)/python -m currantline.bench.measure

capacity: $(STAMP)
	$(BIN)/python -m currantline.bench.capacity
	$(BIN)/python -m currantline.bench.added

clean:
	rm -rf $(VENV)
