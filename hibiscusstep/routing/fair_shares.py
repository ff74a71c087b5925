"""hibiscusstep.routing.fair_shares: weighted shares of a rank among customers.

Made for pools in which a few customers send several times their usual rate for some
seconds. Within a rank, customers are ordered by weighted start-time fair queueing
(Goyal et al., "Start-time fair queueing", 1996): the requests of the others are served
as if those customers sent no more than their share.
"""

import itertools
import math
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

__all__ = ["FairShares"]

# Time constant in seconds of the exponential decay of what customers asked for and were
# granted. Floods last 5 s or more; a refused caller returns within about 2 s.
DECAY_TIME_S = 2.0
# Customers without a request for this time do not count in the sum of weights.
SEEN_S = 10.0
# Amounts are stored multiplied by exp(time / decay time), so that they need no decay.
# They are scaled back after this many time constants.
MAX_SCALE_TIMES = 20.0
# A rank is contended if less than this share of the seconds that are asked for is
# granted. Requests that wait at the moment account for the difference to 1.
CONTENDED_SHARE = 0.95
# A customer may be this many seconds of its share behind the virtual time of the rank,
# since requests arrive in irregular groups. Customers at 0.6 of their share that waited
# 0.2 s at most had 0.94 of their requests served without it, and 0.97 to 0.99 with it.
ALLOWANCE_S = 1.0
# A customer that asks for more than this multiple of its share is expected to do so for
# a while. Less is common in irregular arrivals.
HEAVY_FACTOR = 1.3
# The sums over the backlogs are updated after so many changes, or after one for this
# share of the customers. The cost of a change then grows only with the logarithm of
# their number.
MAX_CHANGES = 8
MAX_CHANGED_SHARE = 1 / 8


@dataclass(slots=True)
class _Account:
    """What a customer of a rank queued, asked for and was granted.

    `virtual_time` is the granted seconds per weight. `backlog` and `queued` are the
    seconds and the number of its queued requests; `number` tells when the first of them
    arrived. `asked` and `granted` are recent seconds, scaled.
    """

    weight: float
    virtual_time: float = 0.0
    backlog: float = 0.0
    queued: int = 0
    number: int = 0
    asked: float = 0.0
    granted: float = 0.0


class _Ramp:
    """Sum of `weight * max(0, x - start)` over pairs of start and weight."""

    def __init__(self, pairs: Iterable[tuple[float, float]]) -> None:
        pairs = sorted(pairs)
        self._starts = [start for start, _weight in pairs]
        weights = (weight for _start, weight in pairs)
        products = (start * weight for start, weight in pairs)
        self._weights = [0.0, *itertools.accumulate(weights)]
        self._products = [0.0, *itertools.accumulate(products)]

    def at(self, x: float) -> float:
        """Return the sum at `x`."""
        index = bisect_left(self._starts, x)
        return self._weights[index] * x - self._products[index]


@dataclass(slots=True)
class _Backlogs:
    """Sums over the backlogs of a rank's customers at one time.

    `possible` is the ramp of what the customers would be served until a virtual time if
    all of them always had requests queued, `beyond` the part that exceeds the backlogs
    of those that ask for less than their share. `intervals` has the start and end of
    each customer's backlog in virtual time, and its weight.
    """

    possible: _Ramp
    beyond: _Ramp
    intervals: dict[str, tuple[float, float, float]]
    # Asked seconds, scaled, of the customers that ask for less than their share, and
    # the seconds per weight below which a customer does so.
    light_asked: float
    light_limit: float


@dataclass(slots=True)
class _RankShares:
    """Customers of a rank; `order` has those with queued requests."""

    virtual_time: float = 0.0
    accounts: dict[str, _Account] = field(default_factory=dict)
    order: SortedList = field(default_factory=SortedList)
    asked: float = 0.0
    granted: float = 0.0
    backlogs: _Backlogs | None = None
    changes: int = 0


class FairShares:
    """Order of a pool's customers within each rank, and their recent shares.

    Each customer of a rank has a virtual time: the seconds that it was granted divided
    by its weight. The customer with the least one is first. A customer without queued
    requests starts near the virtual time of the rank or after it. So it saves a second
    of its share at most while it is idle, and does not pay for what it was granted
    while no other customer waited.

    Parameters
    ----------
    weights : dict of str to float
        Weights of the customers. A missing one has the mean of them, or 1.
    """

    def __init__(self, weights: dict[str, float] | None = None) -> None:
        self._ranks: dict[int, _RankShares] = {}
        self._numbers = itertools.count()
        self._scale = 1.0
        self._scale_from = -math.inf
        # When each customer was seen last, the earliest first.
        self._seen: OrderedDict[str, float] = OrderedDict()
        self._seen_weight = 0.0
        self._now = -math.inf
        self.version = 0
        self.configure(weights or {})

    def configure(self, weights: dict[str, float]) -> None:
        """Set the weights; virtual times and backlogs stay."""
        self._weights = {name: w for name, w in weights.items() if w > 0}
        known = self._weights.values()
        self._default_weight = sum(known) / len(known) if known else 1.0
        self._seen_weight = sum(map(self.weight, self._seen))
        for shares in self._ranks.values():
            for name, account in shares.accounts.items():
                account.weight = self.weight(name)
            shares.backlogs = None
            self._change(shares)

    def weight(self, customer: str) -> float:
        """Return a customer's weight."""
        return self._weights.get(customer, self._default_weight)

    def weight_share(self, customer: str) -> float:
        """Return its weight over the sum of the weights of recently seen customers."""
        weight = self.weight(customer)
        others = self._seen_weight - (weight if customer in self._seen else 0.0)
        return weight / (weight + max(0.0, others))

    def granted_share(self, rank: int, customer: str) -> float:
        """Return a customer's recent share of the seconds granted in a rank."""
        shares = self._ranks.get(rank)
        account = shares.accounts.get(customer) if shares else None
        return account.granted / shares.granted if account and shares.granted else 0.0

    def is_above_share(self, rank: int, customer: str) -> bool:
        """Return whether a customer exceeds its share of a contended rank.

        It does if it recently asked for or got more than `HEAVY_FACTOR` times its
        weighted share of what all asked for or got, while others were seen and less was
        granted than asked for. If all send more than usual, none of them does.
        """
        shares, account = self._contended(rank, customer)
        if account is None:
            return False
        share = self.weight_share(customer)
        asked = account.asked / shares.asked
        granted = account.granted / shares.granted if shares.granted else 0.0
        return share < 1 and max(asked, granted) > HEAVY_FACTOR * share

    def asks_within_share(self, rank: int, customer: str) -> bool:
        """Return whether its share of what a rank is granted covers what it asks for.

        `HEAVY_FACTOR` times the share counts, since requests arrive in irregular
        groups. It always does in a rank that is not contended.
        """
        shares, account = self._contended(rank, customer)
        if account is None:
            return True
        share = self.weight_share(customer)
        limit = HEAVY_FACTOR * share * shares.granted
        return share >= 1 or max(account.asked, account.granted) <= limit

    def _contended(
        self, rank: int, customer: str
    ) -> tuple[_RankShares | None, _Account | None]:
        """Return a contended rank and the account of a customer in it, or None."""
        shares = self._ranks.get(rank)
        if shares is None or shares.granted >= CONTENDED_SHARE * shares.asked:
            return None, None
        return shares, shares.accounts.get(customer)

    def record_request(
        self, rank: int, customer: str, seconds: float, now: float
    ) -> None:
        """Record that a customer asks for estimated seconds of service."""
        self._advance(customer, now)
        shares = self._of_rank(rank)
        self._account(shares, customer).asked += seconds * self._scale
        shares.asked += seconds * self._scale

    def record_grant(
        self,
        rank: int,
        customer: str,
        seconds: float,
        now: float,
        *,
        is_adopted: bool = False,
    ) -> None:
        """Charge a customer for a grant.

        Parameters
        ----------
        rank : int
            Rank of the request.
        customer : str
            Its customer.
        seconds : float
            Its estimated service time at slowness 1.
        now : float
            Seconds on the dispatcher's clock.
        is_adopted : bool
            Whether another dispatcher granted it. Such requests are reported in any
            order, so they do not advance the virtual time of the rank.
        """
        self._advance(customer, now)
        shares = self._of_rank(rank)
        account = self._account(shares, customer)
        account.granted += seconds * self._scale
        shares.granted += seconds * self._scale
        start = account.virtual_time
        if account.queued:
            shares.order.remove(self._key(customer, account))
        else:
            start = max(start, self._least(shares))
        account.virtual_time = start + seconds / account.weight
        if account.queued:
            shares.order.add(self._key(customer, account))
        if not is_adopted:
            first = shares.order[0][0] if shares.order else start
            shares.virtual_time = max(shares.virtual_time, min(start, first))
        self._change(shares)

    def add(self, rank: int, customer: str, seconds: float) -> None:
        """Add the estimated seconds of a queued request to a customer's backlog."""
        shares = self._of_rank(rank)
        account = self._account(shares, customer)
        if not account.queued:
            account.virtual_time = max(account.virtual_time, self._least(shares))
            account.number = next(self._numbers)
            shares.order.add(self._key(customer, account))
        account.queued += 1
        account.backlog += seconds
        self._change(shares)

    def remove(self, rank: int, customer: str, seconds: float) -> None:
        """Remove the estimated seconds of a request that is no longer queued."""
        shares = self._ranks[rank]
        account = shares.accounts[customer]
        account.queued -= 1
        account.backlog = max(0.0, account.backlog - seconds) if account.queued else 0.0
        if not account.queued:
            shares.order.remove(self._key(customer, account))
        self._change(shares)

    def customers(
        self, rank: int, first: int = 0, count: int | None = None
    ) -> Iterator[tuple[float, int, str]]:
        """Iterate over the customers with queued requests, the first to serve first.

        Each has its virtual time and the number by which equal ones are ordered.

        Parameters
        ----------
        rank : int
            The rank.
        first : int
            Number of customers to leave out.
        count : int or None
            Maximum number of customers; None for all.
        """
        shares = self._ranks.get(rank)
        if shares is None:
            return iter(())
        return shares.order.islice(first, None if count is None else first + count)

    def seconds_ahead(self, rank: int, customer: str, seconds: float) -> float:
        """Return the work of a rank that is served before a customer's last request.

        Until then each other customer is served at most its weight's proportion of the
        difference in virtual time. One that asks for less than its share has no more
        than its backlog, and what it asks for meanwhile.

        Parameters
        ----------
        rank : int
            The rank.
        customer : str
            A customer with queued requests.
        seconds : float
            Estimated service time of its last one.

        Returns
        -------
        float
            Estimated seconds at slowness 1.
        """
        shares = self._ranks[rank]
        account = shares.accounts[customer]
        weight = account.weight
        own = max(0.0, account.backlog - seconds)
        start = account.virtual_time + own / weight
        sums = self._backlogs(shares)
        first, end, counted = sums.intervals.get(customer, (start, start, 0.0))
        possible = sums.possible.at(start) - counted * max(0.0, start - first)
        beyond = sums.beyond.at(start) - counted * max(0.0, start - end)
        possible, queued = max(0.0, possible), max(0.0, possible - beyond)
        if account.asked <= sums.light_limit * weight:
            return own + queued
        left = shares.granted - sums.light_asked
        with_arrivals = (own + queued) * shares.granted / left if left > 0 else math.inf
        return min(with_arrivals, own + possible)

    def longest_backlogs(self, count: int) -> dict[str, float]:
        """Return the customers with the most queued seconds per weight, in all ranks.

        The values are their queued seconds.
        """
        backlogs: dict[str, float] = {}
        for shares in self._ranks.values():
            for _time, _number, customer in shares.order:
                queued = shares.accounts[customer].backlog
                backlogs[customer] = backlogs.get(customer, 0.0) + queued
        longest = sorted(backlogs, key=lambda c: -backlogs[c] / self.weight(c))
        return {name: round(backlogs[name], 2) for name in longest[:count]}

    def _least(self, shares: _RankShares) -> float:
        """Return the least virtual time at which a customer without requests starts."""
        if self._seen_weight <= 0:
            return shares.virtual_time
        granted_per_s = shares.granted / self._scale / DECAY_TIME_S
        return shares.virtual_time - ALLOWANCE_S * granted_per_s / self._seen_weight

    def _of_rank(self, rank: int) -> _RankShares:
        shares = self._ranks.get(rank)
        if shares is None:
            shares = self._ranks[rank] = _RankShares()
        return shares

    def _account(self, shares: _RankShares, customer: str) -> _Account:
        account = shares.accounts.get(customer)
        if account is None:
            account = shares.accounts[customer] = _Account(
                self.weight(customer), shares.virtual_time
            )
        return account

    def _key(self, customer: str, account: _Account) -> tuple[float, int, str]:
        return account.virtual_time, account.number, customer

    def _change(self, shares: _RankShares) -> None:
        shares.changes += 1
        self.version += 1

    def _backlogs(self, shares: _RankShares) -> _Backlogs:
        """Return the sums over the backlogs, updated if enough customers changed."""
        limit = max(MAX_CHANGES, MAX_CHANGED_SHARE * len(shares.accounts))
        if shares.backlogs is None or shares.changes > limit:
            shares.backlogs = self._sum_backlogs(shares)
            shares.changes = 0
        return shares.backlogs

    def _sum_backlogs(self, shares: _RankShares) -> _Backlogs:
        light_asked, light_limit = self._light_customers(shares)
        least = self._least(shares)
        intervals = {}
        for customer, account in shares.accounts.items():
            if not account.queued and customer not in self._seen:
                continue
            weight = account.weight
            start = max(account.virtual_time, least)
            end = start
            if account.queued:
                # Of two customers at the same virtual time either one may be first, so
                # half of a request counts.
                start -= account.backlog / account.queued / weight / 2
                end = start + account.backlog / weight
            if account.asked > light_limit * weight:
                end = math.inf
            intervals[customer] = start, end, weight
        possible = _Ramp((start, weight) for start, _end, weight in intervals.values())
        beyond = _Ramp(
            (end, weight)
            for _start, end, weight in intervals.values()
            if end < math.inf
        )
        return _Backlogs(possible, beyond, intervals, light_asked, light_limit)

    def _light_customers(self, shares: _RankShares) -> tuple[float, float]:
        """Return what the customers within their share ask for, and their limit.

        The granted seconds are divided by weight, and what a customer does not ask for
        is divided among the others. Both values are scaled.
        """
        asked = sorted(
            (account.asked / account.weight, account.weight)
            for account in shares.accounts.values()
            if account.asked
        )
        weights = sum(weight for _asked, weight in asked)
        granted = shares.granted / CONTENDED_SHARE
        light = 0.0
        for per_weight, weight in asked:
            if per_weight * weights > granted - light:
                return light, HEAVY_FACTOR * (granted - light) / weights
            light += per_weight * weight
            weights -= weight
        return light, math.inf

    def _advance(self, customer: str, now: float) -> None:
        """Record that a customer was seen, and advance the scale of the amounts."""
        if customer not in self._seen:
            self._seen_weight += self.weight(customer)
        self._seen[customer] = now
        self._seen.move_to_end(customer)
        while self._seen[first := next(iter(self._seen))] < now - SEEN_S:
            del self._seen[first]
            self._seen_weight -= self.weight(first)
        if now == self._now:
            return
        self._now = now
        times = (now - self._scale_from) / DECAY_TIME_S
        if times > MAX_SCALE_TIMES:
            self._restart_scale(now, math.exp(-times))
            times = 0.0
        self._scale = math.exp(times)

    def _restart_scale(self, now: float, factor: float) -> None:
        """Scale all amounts back, and remove customers that are not seen any more."""
        self._scale_from = now
        for shares in self._ranks.values():
            shares.asked *= factor
            shares.granted *= factor
            for name, account in list(shares.accounts.items()):
                account.asked *= factor
                account.granted *= factor
                is_ahead = account.virtual_time > shares.virtual_time
                if name not in self._seen and not account.queued and not is_ahead:
                    del shares.accounts[name]
                    shares.asked = max(0.0, shares.asked - account.asked)
                    shares.granted = max(0.0, shares.granted - account.granted)
            shares.backlogs = None
            self._change(shares)
