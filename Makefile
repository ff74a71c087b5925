# The commands of README. Set-up is made once, from the pinned requirements.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint compare clean

.venv/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: .venv/.ready
	$(BIN)/python examples/demo.py

MIX ?= hanul-night
OPTIONS ?=
compare: .venv/.ready
	$(BIN)/python examples/compare.py $(MIX) $(OPTIONS)

test: .venv/.ready
	$(BIN)/python -m pytest

lint: .venv/.ready
	$(BIN)/ruff format --check hibiscusstep tests examples
	$(BIN)/ruff check hibiscusstep tests examples

clean:
	rm -rf .venv build *.egg-info
