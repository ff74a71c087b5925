"""hibiscusstep.explain: steps of an instance's latest requests, kept in memory."""

import time
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["Explainer", "Step"]

MAX_REQUESTS = 5000


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a request.

    Parameters
    ----------
    at : float
        Seconds since the epoch.
    what : str
        Kind of step.
    customer : str
        Customer of the request.
    fields : dict
        Details, such as target and reason.
    """

    at: float
    what: str
    customer: str
    fields: dict


class Explainer:
    """Holds the steps of the latest `MAX_REQUESTS` requests."""

    def __init__(self) -> None:
        self._steps: OrderedDict[str, list[Step]] = OrderedDict()

    def add_step(self, request: str, customer: str, what: str, **fields) -> None:
        """Record a step of a request."""
        steps = self._steps.setdefault(request, [])
        steps.append(Step(round(time.time(), 3), str(what), customer, fields))
        while len(self._steps) > MAX_REQUESTS:
            self._steps.popitem(last=False)

    def explain(self, request: str) -> list[Step]:
        """Return the steps of a request; empty if none are held."""
        return list(self._steps.get(request, ()))
