"""hibiscusstep.load.customer_use: what customers used of their limits, from logs."""

from collections import Counter, defaultdict
from dataclasses import dataclass

__all__ = ["CustomerUse", "HeaviestWindow"]

# Attempts end in another order than they begin: tokens are gathered in steps this wide,
# so that what is kept grows with the time a log spans and not with its lines.
STEP_S = 0.25
# Quotas are given by windows of so many seconds where no line tells another one.
DEFAULT_WINDOW_S = 8.0


@dataclass(frozen=True, slots=True)
class HeaviestWindow:
    """The window in which a customer used most.

    Parameters
    ----------
    start : float
        Seconds since the first line, rounded down to a step.
    tokens : int
        Used by attempts that were sent within the window.
    limit : int
        The most that any instance held for the customer's limit; 0 if none told.
    """

    start: float
    tokens: int
    limit: int


class CustomerUse:
    """Gathers what attempts used, by customer.

    Tokens are counted when an attempt is sent, and once for each request, as the quota
    counts them. Attempts of instances that were lost have no line.
    """

    def __init__(self) -> None:
        self._used: dict[str, Counter] = defaultdict(Counter)
        self._limits: Counter = Counter()
        self._window = DEFAULT_WINDOW_S

    def read(self, record: dict, at: float) -> None:
        """Take a log line of the moment `at`, in seconds since the first one."""
        match record["message"]:
            case "attempt" if record.get("counted") and record["number"] == 1:
                sent = max(0.0, at - record["seconds"])
                self._used[record["customer"]][int(sent / STEP_S)] += record["counted"]
            case "customer-use" | "over-quota":
                name = record["customer"]
                self._limits[name] = max(self._limits[name], record["limit"])
                self._window = record.get("window", self._window)

    def heaviest(self) -> dict[str, HeaviestWindow]:
        """Return each customer's heaviest window, by name."""
        return {name: self._heaviest(name) for name in sorted(self._used)}

    def _heaviest(self, name: str) -> HeaviestWindow:
        used = self._used[name]
        steps = round(self._window / STEP_S)
        sums = {
            first: sum(used[step] for step in range(first, first + steps))
            for first in list(used)
        }
        first = max(sums, key=sums.get)
        return HeaviestWindow(first * STEP_S, sums[first], self._limits[name])
