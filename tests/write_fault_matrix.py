"""Generates docs/FAULTS.md from the results of the fault matrix tests."""

import sys
import xml.etree.ElementTree as tree
from pathlib import Path

from faults import FAULTS, KINDS, PAIRS, STEPS, cells

HEAD = """# Fault matrix

Made by `make faults`; do not edit. Each cell is one run of three instances, two
services, two engines and a platform (one loop, `tests/faults.py`): a request of the
kind is sent, the fault is injected when the step is reached, then all is mended, the
request is repeated, and each instance has to serve again. The checker then reads the
history of all of them. A cell shows what the first caller heard: **whole**, *not run*,
*unknown* (outcome unknown), *failed*, *broken* (its own instance was killed or had
shut down), or **BROKEN PROMISE**.

Kinds: *charge* has a key and may not repeat, *read* may repeat, *chat* is streamed.
"""
NOT_RUN = """
## Not run here

- Freezes (SIGSTOP and waking): a loop cannot pause one instance of several; they run
  on real processes in `tests/test_processes.py`: holder, dispatcher and both, of a
  charge, when it is received, claimed, and run by its target; a dispatcher under load;
  a holder while its claim is written. The other steps are not run.
- The steps *grant*, *connect*, *headers sent*, *body sent*, *mid-stream* and *release*
  have no event of their own; *asked*, *dispatched* and *run by target* lie around them.
  Cuts in the midst of a stream are in `tests/test_streams.py`.
- *Lease renewed*: there are no leases.
- Cells marked - : the step does not occur for that kind, or adds nothing to *charge*.
- Pairs other than those listed; three faults at once.
"""
RESULT_TEXTS = {
    "whole": "**whole**",
    "outcome unknown": "*unknown*",
    "not run": "*not run*",
    "failed": "*failed*",
    "broken": "*broken*",
}


def main(results, target):
    """Write the page."""
    by_cell = dict(read_results(results))
    parts = [HEAD, make_summary(by_cell)]
    for kind in KINDS:
        parts.append(make_table(kind, by_cell))
    parts.append(NOT_RUN)
    Path(target).write_text("\n".join(parts))


def read_results(path):
    """Yield the cell name and result of each test in a JUnit file."""
    for case in tree.parse(path).iter("testcase"):
        properties = {p.get("name"): p.get("value") for p in case.iter("property")}
        if "cell" in properties:
            bad = case.find("failure") is not None or case.find("error") is not None
            result = (
                "**BROKEN PROMISE**" if bad else RESULT_TEXTS[properties["outcome"]]
            )
            yield properties["cell"], result


def make_summary(by_cell):
    """Return a line with the number of cells and broken promises."""
    broken = sum(result == "**BROKEN PROMISE**" for result in by_cell.values())
    return (
        f"{len(by_cell)} cells of {len(cells())} run, {broken} with a broken promise.\n"
    )


def make_table(kind, by_cell):
    """Return the table of a kind of request."""
    faults = [(name,) for name in FAULTS] + PAIRS
    lines = [f"## {kind}\n", "| fault \\ step | " + " | ".join(STEPS) + " |"]
    lines.append("|" + " --- |" * (len(STEPS) + 1))
    for names in faults:
        fault = " + ".join(names)
        row_cells = (by_cell.get(f"{kind} / {step} / {fault}", "-") for step in STEPS)
        lines.append(f"| {fault} | " + " | ".join(row_cells) + " |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    main(*sys.argv[1:])
