"""hibiscusstep.routing.pool_capacity: how fast a pool serves its requests."""

import math
from collections.abc import Iterable

from hibiscusstep.routing.slot_target import SlotTarget

__all__ = ["PoolCapacity"]

# Weight of a new request in the mean service time.
LEARNING_RATE = 0.05


class PoolCapacity:
    """Service rate of a pool's usable targets, some of which limit their requests.

    A target without a limit serves as many requests at a time as it has slots. One with
    a limit serves no more than that many requests per second, however short they are.

    Attributes
    ----------
    limited_count : int
        Number of usable targets with a limit.
    is_limited : bool
        Whether all usable targets have a limit.
    min_slowness : float
        Slowness of the fastest target that is not slowed down by its limit.
    mean_slowness : float
        Expected slowness of the target whose slot is free next: the mean of the usable
        targets, weighted by their service rates.
    """

    def __init__(self) -> None:
        self._request_seconds = 0.0
        # Seconds of service at slowness 1 per second, of targets without a limit.
        self._unlimited_rate = 0.0
        # Requests per second of targets with a limit, and when one accepts the next.
        self._limited_per_s = 0.0
        self._next_limited_at = math.inf
        self.limited_count = 0
        self.is_limited = False
        self.min_slowness = 1.0
        self.mean_slowness = 1.0

    @property
    def service_rate(self) -> float:
        """Seconds of service at slowness 1 per second, within the limits."""
        return self._unlimited_rate + self._limited_per_s * self._request_seconds

    @property
    def slot_interval(self) -> float:
        """Mean seconds until the next slot is free in a full pool."""
        rate = self.service_rate
        return self._request_seconds / rate if rate else math.inf

    def record_request(self, seconds: float) -> None:
        """Record the estimated service time of a new request at slowness 1."""
        weight = LEARNING_RATE if self._request_seconds else 1.0
        self._request_seconds += weight * (seconds - self._request_seconds)

    def update(self, usable: Iterable[SlotTarget]) -> None:
        """Update the rates.

        Parameters
        ----------
        usable : iterable of SlotTarget
            The targets that may be granted requests.
        """
        targets = list(usable)
        limited = [target for target in targets if target.limiter]
        self.limited_count = len(limited)
        self.is_limited = 0 < len(limited) == len(targets)
        if not limited:
            self._update_without_limits(targets)
            return
        unlimited = [target for target in targets if not target.limiter]
        self._unlimited_rate = sum(t.service_rate for t in unlimited)
        self._limited_per_s = sum(map(self._requests_per_s, limited))
        self._next_limited_at = min(target.next_start_at for target in limited)
        self._update_slowness(unlimited, limited)

    def _update_without_limits(self, targets: list[SlotTarget]) -> None:
        self._unlimited_rate = sum(t.slots / t.slowness for t in targets)
        self._limited_per_s = 0.0
        self.min_slowness = min((t.slowness for t in targets), default=1.0)
        slots = sum(t.slots for t in targets)
        rate = self._unlimited_rate
        self.mean_slowness = slots / rate if rate else 1.0

    def _is_bound_by_limit(self, target: SlotTarget) -> bool:
        """Return whether its limit rather than its slots determines a target's rate."""
        return target.limiter.rate * self._request_seconds < target.service_rate

    def _requests_per_s(self, target: SlotTarget) -> float:
        """Return how many requests a target with a limit serves per second."""
        if self._is_bound_by_limit(target):
            return target.limiter.rate
        return target.service_rate / self._request_seconds

    def _update_slowness(
        self, unlimited: list[SlotTarget], limited: list[SlotTarget]
    ) -> None:
        rates = [(target, target.service_rate) for target in unlimited]
        rates += [
            (target, self._requests_per_s(target) * self._request_seconds)
            for target in limited
        ]
        unaffected = [t for t in limited if not self._is_bound_by_limit(t)]
        fast = [*unlimited, *unaffected] or limited
        self.min_slowness = min(target.slowness for target in fast)
        total = sum(rate for _target, rate in rates)
        self.mean_slowness = (
            sum(rate * target.slowness for target, rate in rates) / total
            if total
            else self.min_slowness
        )

    def wait_seconds(self, count: int, seconds: float, now: float) -> float | None:
        """Return the seconds until a request is granted; None without usable targets.

        Parameters
        ----------
        count : int
            Number of requests that are granted before it.
        seconds : float
            Their estimated service time at slowness 1.
        now : float
            Seconds on the dispatcher's clock.
        """
        if self.is_limited:
            return self.start_delay(now) + count / self._limited_per_s
        if not self._unlimited_rate:
            return None
        mean_seconds = seconds / count if count else 0.0
        return seconds / (self._unlimited_rate + self._limited_per_s * mean_seconds)

    def start_delay(self, now: float) -> float:
        """Return the seconds until any target accepts a request by its limit."""
        return max(0.0, self._next_limited_at - now) if self.is_limited else 0.0
