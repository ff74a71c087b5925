"""A sample of the fault matrix; ``make faults`` runs all and writes docs/FAULTS.md."""

import os

import pytest
from faults import cells, run_cell

ALL_CELLS = cells()
STRIDE = 1 if os.environ.get("HIBISCUSSTEP_ALL_FAULTS") else 23
SELECTED_CELLS = ALL_CELLS[::STRIDE]


class TestFaultMatrix:
    @pytest.mark.parametrize("cell", SELECTED_CELLS, ids=lambda cell: cell.name)
    async def test_no_promise_is_broken(self, tmp_path, cell, record_property):
        record_property("cell", cell.name)
        record_property("outcome", await run_cell(tmp_path, cell))
