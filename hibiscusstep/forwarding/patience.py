"""hibiscusstep.forwarding.patience: tells who comes back from who comes first."""

from collections import Counter, defaultdict

__all__ = ["UsualPatience"]

# Patiences are told apart by so many seconds.
RESOLUTION_S = 0.01
# A route's usual patience is known from so many requests on, if so large a share of
# them has it: callers who come back have less, each another one.
MIN_REQUESTS = 10
MIN_SHARE = 0.25
# After so many requests the counts of a route are halved, so that a change is noticed.
FORGET_AFTER = 256


class UsualPatience:
    """Learns for how long the callers of each route wait when they come first.

    A caller that comes back after a refusal has as much less patience as it has spent.
    Its objective counts from its first attempt, and it has a new id each time: this
    alone shows that it can no longer be served in time. Where callers wait unlike
    long, nobody counts as come back.
    """

    def __init__(self) -> None:
        self._counts: dict[str, Counter[int]] = defaultdict(Counter)
        self._usual: dict[str, int] = {}

    def spent(self, route: str, patience: float | None) -> float:
        """Count a request, and return the seconds that its caller has spent before.

        Parameters
        ----------
        route : str
            Name of its route.
        patience : float or None
            Seconds for which its caller still waits; None if it does not say.
        """
        if patience is None:
            return 0.0
        step = round(patience / RESOLUTION_S)
        self._count(route, step)
        usual = self._usual.get(route, 0)
        return max(0.0, (usual - step) * RESOLUTION_S)

    def _count(self, route: str, step: int) -> None:
        counts = self._counts[route]
        counts[step] += 1
        if counts.total() < MIN_REQUESTS:
            return
        usual, count = counts.most_common(1)[0]
        self._usual[route] = usual if count >= MIN_SHARE * counts.total() else 0
        if counts.total() >= FORGET_AFTER:
            halved = {value: n // 2 for value, n in counts.items() if n > 1}
            self._counts[route] = Counter(halved)
