# The commands of README. Set-up is made once, from the pinned requirements.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint compare faults soak clean

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

# Processes near their memory limits, one at a time.
ALONE := tests/test_unruly_callers.py

test: .venv/.ready
	$(BIN)/python -m pytest -n 4 --ignore $(ALONE)
	$(BIN)/python -m pytest -n 0 $(ALONE)

faults: .venv/.ready
	mkdir -p out
	HIBISCUSSTEP_ALL_FAULTS=1 $(BIN)/python -m pytest tests/test_faults.py -n 4 \
		--timeout 120 --junitxml out/faults.xml -o junit_family=legacy; \
	status=$$?; cd tests && PYTHONPATH=../examples ../$(BIN)/python write_fault_matrix.py \
		../out/faults.xml ../docs/FAULTS.md; exit $$status

SEEDS ?= 1-50
soak: .venv/.ready
	$(BIN)/python tests/soak.py --seeds $(SEEDS)

lint: .venv/.ready
	$(BIN)/ruff format --check hibiscusstep tests examples
	$(BIN)/ruff check hibiscusstep tests examples

clean:
	rm -rf .venv build *.egg-info
