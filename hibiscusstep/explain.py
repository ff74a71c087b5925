"""hibiscusstep.explain: what an instance decided about its latest requests."""

import time
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["Explainer", "Note"]

MAX_REQUESTS = 5000


@dataclass(frozen=True, slots=True)
class Note:
    """One step of a request.

    Parameters
    ----------
    at : float
        Seconds since the epoch.
    what : str
        What was decided.
    customer : str
        Whose request.
    fields : dict
        Where and why.
    """

    at: float
    what: str
    customer: str
    fields: dict


class Explainer:
    """Remembers the steps of the latest `MAX_REQUESTS` requests."""

    def __init__(self) -> None:
        self._notes: OrderedDict[str, list[Note]] = OrderedDict()

    def note(self, request: str, customer: str, what: str, **fields) -> None:
        """Remember a step."""
        notes = self._notes.setdefault(request, [])
        notes.append(Note(round(time.time(), 3), str(what), customer, fields))
        while len(self._notes) > MAX_REQUESTS:
            self._notes.popitem(last=False)

    def explain(self, request: str) -> list[Note]:
        """Return the steps of a request, empty if it is not remembered."""
        return list(self._notes.get(request, ()))
