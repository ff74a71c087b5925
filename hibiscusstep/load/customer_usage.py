"""hibiscusstep.load.customer_usage: customers' usage of limits, from log lines."""

from collections import Counter, defaultdict
from dataclasses import dataclass

__all__ = ["CustomerUsage", "HeaviestWindow"]

# Attempts end in a different order than they begin. Tokens are summed in steps of this
# width, so that memory grows with the time span of a log and not with its lines.
STEP_S = 0.25
# Length of a quota window where no line gives it.
DEFAULT_WINDOW_S = 8.0


@dataclass(frozen=True, slots=True)
class HeaviestWindow:
    """Window in which a customer used the most tokens.

    Parameters
    ----------
    start : float
        Seconds since the first line, rounded down to a step.
    tokens : int
        Tokens of the attempts sent within the window.
    limit : int
        Largest limit that any instance logged for the customer; 0 if none did.
    """

    start: float
    tokens: int
    limit: int


class CustomerUsage:
    """Token usage of attempts, by customer.

    As in the quota, tokens are counted when an attempt is sent, and once per request.
    Attempts of lost instances have no line and are missing.
    """

    def __init__(self) -> None:
        self._used: dict[str, Counter] = defaultdict(Counter)
        self._limits: Counter = Counter()
        self._window = DEFAULT_WINDOW_S

    def read(self, record: dict, at: float) -> None:
        """Process the record of a log line; `at` is in seconds since the first line."""
        match record["message"]:
            case "attempt" if record.get("counted") and record["number"] == 1:
                sent = max(0.0, at - record["seconds"])
                self._used[record["customer"]][int(sent / STEP_S)] += record["counted"]
            case "customer-use" | "over-quota":
                name = record["customer"]
                self._limits[name] = max(self._limits[name], record["limit"])
                self._window = record.get("window", self._window)

    def heaviest(self) -> dict[str, HeaviestWindow]:
        """Return the window with the most tokens of each customer, by name."""
        return {name: self._heaviest_window(name) for name in sorted(self._used)}

    def _heaviest_window(self, name: str) -> HeaviestWindow:
        used = self._used[name]
        steps = round(self._window / STEP_S)
        sums = {
            first: sum(used[step] for step in range(first, first + steps))
            for first in list(used)
        }
        first = max(sums, key=sums.get)
        return HeaviestWindow(first * STEP_S, sums[first], self._limits[name])
