"""hibiscusstep.forwarding.windowed_retry_budget: retry budget over a sliding window."""

from collections import defaultdict, deque
from collections.abc import Callable

from hibiscusstep.clock import elapsed
from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.window import SlidingWindow
from hibiscusstep.log import decision
from hibiscusstep.membership.sliding_maximum import SlidingMaximum

__all__ = ["WindowedRetryBudget"]

# Share of the budget that is used. Whoever checks the limit may count over windows that
# are not aligned with these.
USABLE_SHARE = 0.8
# Seconds within which the others know that an instance has started or has ended.
DISCOVERY_S = 2.0
# A stop of the process for longer than this share of a window counts as a restart. The
# others do not take over its part before a whole window is over.
MAX_STOP_SHARE = 0.5
# Retries that requests may earn before any is used, while an instance has no part.
MAX_CREDIT = 1.0
# Share of the retries earned by requests that may be used at once, for requests of the
# last window. The others are earned by requests that come after the retries.
ADVANCE_SHARE = 0.5


class _PoolAccount:
    """Requests to a pool and the retries that they have not paid for yet.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.

    Attributes
    ----------
    credit : float
        Retries that earlier requests have paid for.
    waiting : int
        Allowed retries that have not been sent yet.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._requests = SlidingWindow(window_s)
        self._requests_of_two_windows = SlidingWindow(2 * window_s)
        # Pairs of the time of a retry and its unpaid part; the latest is paid first.
        self._unpaid: deque[tuple[float, float]] = deque()
        self.credit = 0.0
        self.waiting = 0

    def record_request(self, payment: float, now: float, max_credit: float) -> None:
        """Count a request, which pays for a part of a retry, or earns a later one."""
        self._requests.add(1, now)
        self._requests_of_two_windows.add(1, now)
        while payment > 0 and self._unpaid:
            at, amount = self._unpaid.pop()
            if amount > payment:
                self._unpaid.append((at, amount - payment))
            payment -= amount
        self.credit = min(max_credit, self.credit + max(0.0, payment))

    def record_retry(self, now: float) -> None:
        """Count a retry that is sent."""
        if self.credit >= 1:
            self.credit -= 1
        else:
            self._unpaid.append((now, 1.0))

    def requests(self, now: float) -> float:
        """Return the number of requests in the window."""
        return self._requests.total(now)

    def steady_requests(self, now: float) -> float:
        """Return the requests in the window or in the one before, if fewer."""
        recent = self._requests.total(now)
        return min(recent, self._requests_of_two_windows.total(now) - recent)

    def unpaid(self, now: float) -> float:
        """Return the retries, sent in the window or waiting, not paid for."""
        while self._unpaid and self._unpaid[0][0] <= now - self._window_s:
            self._unpaid.popleft()
        return self.waiting + sum(amount for _at, amount in self._unpaid)


class WindowedRetryBudget:
    """Limits the retries to a pool to a share of its requests plus a reserve.

    The limit holds for all instances together, also if any of them are lost. An
    instance may have as many unpaid retries in a window as its part: an even part of
    the reserve, and a share of its own requests that does not grow for a window if it
    receives those of lost instances. Each later request pays for a part of a retry. In
    any window all retries are therefore at most the parts of the instances that were
    alive at its beginning, which add up to the reserve and a share of the requests
    before it, and a share of the requests in it.

    An instance has no part for a window after its start, since its predecessor or an
    instance that it replaces may have used one, and none after a long stop. Its
    requests earn all of their share then. Where the whole system starts for the first
    time, nobody can have used any.

    Parameters
    ----------
    bounds : Bounds
        Share, reserve and window.
    now : float
        Start of this instance, on the loop's clock.
    clock : callable
        Returns seconds that include stops of the process and of the machine.
    is_first_start : bool
        Whether no instance of the system was running before.
    """

    def __init__(
        self,
        bounds: Bounds,
        now: float,
        clock: Callable[[], float] = elapsed,
        *,
        is_first_start: bool = False,
    ) -> None:
        self.bounds = bounds
        self._clock = clock
        self._last_seen_at = clock()
        self._started_at = now
        # Whether retries of before the start may count, for a window.
        self._follows_others = not is_first_start
        self._accounts: dict[str, _PoolAccount] = defaultdict(self._make_account)
        self._instances = 1
        self._most_instances = SlidingMaximum(bounds.retry_window)

    def set_instances(self, count: int, now: float) -> None:
        """Set the number of instances that share the reserve from now on."""
        self._check_for_stop(now)
        self._most_instances.add(self._instances, now)
        self._instances = max(1, count)

    def record_request(self, pool: str, now: float) -> None:
        """Count a request."""
        self._check_for_stop(now)
        share, max_credit = USABLE_SHARE * self.bounds.retry_share, MAX_CREDIT
        if self._has_part(now):
            share, max_credit = (1 - ADVANCE_SHARE) * share, 0.0
        self._accounts[pool].record_request(share, now, max_credit)

    def remaining(self, pool: str, now: float) -> float:
        """Return how many retries are allowed now."""
        self._check_for_stop(now)
        account = self._accounts[pool]
        if not self._has_part(now):
            return account.credit - account.unpaid(now)
        reserve = self.bounds.retry_reserve / self._sharing_instances(now)
        advance = ADVANCE_SHARE * self.bounds.retry_share
        part = USABLE_SHARE * (advance * account.steady_requests(now) + reserve)
        return part - account.unpaid(now)

    def summary(self, pool: str, now: float) -> dict[str, float]:
        """Return what the budget of a pool follows from, for the log."""
        account = self._accounts[pool]
        return {
            "remaining": round(self.remaining(pool, now), 2),
            "unpaid": round(account.unpaid(now), 2),
            "requests": account.requests(now),
            "instances": self._sharing_instances(now),
            "age": round(now - self._started_at, 1),
            "has_part": self._has_part(now),
        }

    def try_acquire(self, pool: str, now: float) -> bool:
        """Return whether a retry is allowed; it counts from now until it leaves.

        It may wait for a target, so the window in which it counts begins with
        `record_sent`. One that is not sent is given back by `release`.
        """
        if self.remaining(pool, now) < 1.0:
            return False
        self._accounts[pool].waiting += 1
        return True

    def record_sent(self, pool: str, now: float) -> None:
        """Record that an allowed retry is sent now."""
        self.release(pool)
        self._accounts[pool].record_retry(now)

    def release(self, pool: str) -> None:
        """Give back an allowed retry that is not sent."""
        self._accounts[pool].waiting -= 1

    def _has_part(self, now: float) -> bool:
        """Whether nobody counts retries of before the start any more."""
        age = now - self._started_at
        return not self._follows_others or (
            age >= self.bounds.retry_window + DISCOVERY_S
        )

    def _check_for_stop(self, now: float) -> None:
        """Begin anew if the process or its machine was stopped for long."""
        at = self._clock()
        if at - self._last_seen_at > MAX_STOP_SHARE * self.bounds.retry_window:
            decision(
                "retry-budget-restarted", stopped=round(at - self._last_seen_at, 1)
            )
            self._started_at = now
            self._follows_others = True
        self._last_seen_at = at

    def _sharing_instances(self, now: float) -> int:
        """Return the largest number of instances that shared it in the window."""
        return self._most_instances.add(self._instances, now)

    def _make_account(self) -> _PoolAccount:
        return _PoolAccount(self.bounds.retry_window)
