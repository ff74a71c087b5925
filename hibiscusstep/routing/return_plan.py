"""hibiscusstep.routing.return_plan: when the callers of refused requests return.

Handles overload: without a plan all refused callers return after the same delay, wait a
second time and are mostly refused again. The plan names each of them a time for which
it has reserved service, and recognizes the caller when it returns.
"""

import enum
import heapq
import math
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from hibiscusstep.routing import messages as m

__all__ = [
    "EARLY_TOLERANCE_S",
    "LATE_TOLERANCE_S",
    "Arrival",
    "Attempt",
    "NamedReturn",
    "PlaceCounts",
    "ReturnPlan",
]

# Length of a bin. Callers honour fractions of a second, and the rate of a large pool
# gives several places to each bin.
BIN_S = 0.1
# Guaranteed share of the capacity for places. During overload each place displaces a
# new request that could be in time.
MIN_PLACE_SHARE = 0.05
# Callers honour a delay up to this share of the time that they have left.
HONOURED_SHARE = 1 / 3
# Bounds of the times named. The load further ahead is not known; a caller whose
# deadline is not known waits at least as long as without a plan.
MAX_HORIZON_S = 5.0
UNKNOWN_DEADLINE_HORIZON_S = 2.0
# A new connection takes some time, and slots that are free earlier go to requests that
# wait.
MIN_RETURN_S = 0.1
# Times named to callers without a place are spread over this interval.
UNBOOKED_SPREAD_S = 2.0
# A caller is in its place from this long before the time named to this long after it.
EARLY_TOLERANCE_S, LATE_TOLERANCE_S = 0.1, 1.0
# Time constant of the rate of arriving work: long compared with the intervals between
# requests, short compared with bursts of 5 to 11 s.
DEMAND_TIME_S = 1.0
# A new dispatcher records at once what arrived in this time before it decides.
RECOVERY_S = 0.3
# Time constant of the measured service of a busy pool, and the number of granted
# requests with which the estimate counts beside it.
BUSY_TIME_S = 4.0
BUSY_PRIOR_REQUESTS = 20
# Refused callers are recognized for this long. They return within `MAX_HORIZON_S`.
MEMORY_S = 10.0
# Refused callers that are recognized: 1,600 refusals a second for `MEMORY_S`, and some.
MAX_KNOWN = 20_000
# Multiples of it, modulo 1, are spread evenly however many there are.
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2


class Attempt(enum.StrEnum):
    """What a grant request is, by the caller's identity.

    `FIRST`: not known to have been refused. `EARLY`: it has a place, but returned
    before it. `IN_PLACE`: it returned in its place. `RETURNED`: it returned without a
    place, or after it.
    """

    FIRST = "first"
    EARLY = "early"
    IN_PLACE = "in-place"
    RETURNED = "returned"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A classified request; `work` is due one objective after its receipt."""

    work: m.Work
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class NamedReturn:
    """What a refusal says.

    Parameters
    ----------
    retry_after : float
        Seconds until the time named.
    place_s, place_seconds : float
        Seconds until the booked place and its estimated service at slowness 1; 0 if no
        place is booked.
    """

    retry_after: float
    place_s: float = 0.0
    place_seconds: float = 0.0


@dataclass(slots=True)
class PlaceCounts:
    """Places that are booked now, and totals since the start."""

    open: int = 0
    booked: int = 0
    used: int = 0
    expired: int = 0


@dataclass(slots=True)
class _RefusedCaller:
    """A refused caller; `bins` are the bins with the seconds booked in each.

    `accepted_request` is the request that returned in its place or was granted: its
    further grant requests, such as after a failure of the target, are not returns.
    """

    customer: str
    rank: int
    seconds: float
    starts_at: float
    objective: float
    forget_at: float
    has_place: bool = False
    used: bool = False
    accepted_request: str = ""
    bins: tuple[tuple[int, float], ...] = ()


@dataclass(slots=True)
class _BusyService:
    """Ratio of a pool's measured to its estimated service while requests wait.

    The estimates of the requests' service times may be wrong by a common factor. With
    estimates of a third of the true times, four of five refused callers got places, and
    one of ten of these was refused in its place.
    """

    _granted: float = 0.0
    _estimated: float = 0.0
    _busy_since: float = math.inf
    _mean_seconds: float = 0.0

    def record_grant(
        self, seconds: float, now: float, service_rate: float, is_busy: bool
    ) -> None:
        """Record a grant and whether requests wait after it."""
        weight = 1 / BUSY_PRIOR_REQUESTS if self._mean_seconds else 1.0
        self._mean_seconds += weight * (seconds - self._mean_seconds)
        passed = now - self._busy_since
        if passed >= 0:
            kept = math.exp(-passed / BUSY_TIME_S)
            self._granted = kept * self._granted + seconds
            self._estimated = kept * self._estimated + service_rate * passed
        self._busy_since = now if is_busy else math.inf

    def ratio(self, service_rate: float) -> float:
        """Return the ratio; 1 without observations."""
        prior = BUSY_PRIOR_REQUESTS * self._mean_seconds
        if not prior:
            return 1.0
        return (self._granted + prior) / (self._estimated + prior)


def _never_above_share(_rank: int, _customer: str) -> bool:
    return False


def _equal_weight(_customer: str) -> float:
    return 1.0


class ReturnPlan:
    """Plan of the returns of refused callers, in bins of `BIN_S`.

    All times are seconds on the dispatcher's clock, seconds of service at slowness 1.

    Parameters
    ----------
    is_above_share : callable of int and str
        Whether a customer got more than its share of a rank: its places come only from
        capacity that new requests do not need.
    weight : callable of str
        Weight of a customer, relative to the others.

    Attributes
    ----------
    counts : PlaceCounts
        Numbers of places.
    """

    def __init__(
        self,
        is_above_share: Callable[[int, str], bool] = _never_above_share,
        weight: Callable[[str], float] = _equal_weight,
    ) -> None:
        self._is_above_share = is_above_share
        self._weight = weight
        self._booked: dict[int, float] = {}
        self._callers: OrderedDict[int, _RefusedCaller] = OrderedDict()
        self._place_ends: list[tuple[float, int]] = []
        self._refused_by_customer: Counter[str] = Counter()
        # Weights of the customers with refused callers, and their sum.
        self._weights: dict[str, float] = {}
        self._total_weight = 0.0
        self._booked_by_customer: dict[str, float] = defaultdict(float)
        self._busy_service = _BusyService()
        self._demand = 0.0
        self._demand_at = 0.0
        self._began_at = -math.inf
        self._current_bin = 0
        self._spread_number = 0
        self.counts = PlaceCounts()

    @property
    def known(self) -> int:
        """Number of refused callers that are recognized."""
        return len(self._callers)

    def record_demand(self, seconds: float, now: float) -> None:
        """Record the estimated service of a first attempt."""
        self._demand = self._decayed_demand(now) + seconds / DEMAND_TIME_S
        self._demand_at = now

    def demand(self, now: float) -> float:
        """Return the recent rate of first attempts, in seconds of service a second.

        The first second after `begin` counts for as long as it is: without that, a new
        dispatcher took nearly all of the capacity for spare.
        """
        seen = max(RECOVERY_S, now - self._began_at)
        return self._decayed_demand(now) / -math.expm1(-seen / DEMAND_TIME_S)

    def _decayed_demand(self, now: float) -> float:
        passed = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-passed / DEMAND_TIME_S)

    def begin(self, now: float) -> None:
        """Begin to count the demand of a new dispatcher, at its first decisions."""
        self._began_at = now - RECOVERY_S

    def update_weights(self) -> None:
        """Read the customers' weights again, after a new configuration."""
        self._weights = {name: self._weight(name) for name in self._weights}
        self._total_weight = sum(self._weights.values())

    def admit(self, work: m.Work, now: float) -> Arrival:
        """Classify a request; a place in which it returned is used up.

        The time of receipt counts, since a request that waited for a new dispatcher
        returned before that.
        """
        self._advance(now)
        caller = self._callers.get(work.identity)
        if caller is None:
            return Arrival(work, Attempt.FIRST)
        if caller.accepted_request == work.request:
            return Arrival(work, Attempt.IN_PLACE if caller.used else Attempt.FIRST)
        if objective := caller.objective or work.first_token_due - work.received_at:
            due = work.received_at + max(0.0, objective)
            work = replace(work, first_token_due=due if work.first_token_due else 0.0)
        if not caller.has_place:
            return Arrival(work, Attempt.RETURNED)
        if work.received_at < caller.starts_at - EARLY_TOLERANCE_S:
            return Arrival(work, Attempt.EARLY)
        if work.received_at > caller.starts_at + LATE_TOLERANCE_S:
            return Arrival(work, Attempt.RETURNED)
        self._use(caller)
        caller.accepted_request = work.request
        return Arrival(work, Attempt.IN_PLACE)

    def record_grant(
        self,
        work: m.Work,
        seconds: float,
        now: float,
        service_rate: float,
        *,
        is_busy: bool,
    ) -> bool:
        """Record a grant; return whether the caller's place is used up.

        If it is granted before its place, the seconds booked are available again.

        Parameters
        ----------
        work : Work
            The granted request.
        seconds : float
            Its estimated service.
        now : float
            The time.
        service_rate : float
            Seconds of service that the pool performs a second, by the estimates.
        is_busy : bool
            Whether other requests wait.
        """
        self._busy_service.record_grant(seconds, now, service_rate, is_busy)
        caller = self._callers.get(work.identity)
        if caller is None:
            return False
        caller.accepted_request = work.request
        if caller.has_place:
            self._use(caller)
            self._release_bins(caller)
        return caller.used

    def refuse(
        self,
        arrival: Arrival,
        seconds: float,
        now: float,
        service_rate: float,
        *,
        start_delay: float = 0.0,
        only_spare: bool = False,
    ) -> NamedReturn:
        """Return the time at which a refused caller should return.

        Only a first attempt gets a place: further attempts would otherwise gain one.

        Parameters
        ----------
        arrival : Arrival
            The refused request.
        seconds : float
            Its estimated service.
        now : float
            The time.
        service_rate : float
            Seconds of service that the pool performs a second, by the estimates.
        start_delay : float
            Seconds in which no target accepts any request.
        only_spare : bool
            Whether a place may only come from capacity that new requests do not need.
        """
        self._advance(now)
        work = arrival.work
        caller = self._callers.get(work.identity)
        if arrival.attempt is Attempt.EARLY and caller and caller.has_place:
            place_s = max(0.01, caller.starts_at - now)
            return NamedReturn(round(place_s, 2), place_s, caller.seconds)
        horizon = _horizon(work, now)
        first = caller is None
        # Without a target nobody is served: the next attempt is as good as a first one.
        if first and work.identity and service_rate > 0:
            caller = self._remember(work, seconds, now)
        if first and caller:
            only_spare |= self._is_above_share(work.rank, work.customer)
            if self._book(caller, now, start_delay, horizon, service_rate, only_spare):
                heapq.heappush(
                    self._place_ends,
                    (caller.starts_at + LATE_TOLERANCE_S, work.identity),
                )
                place_s = max(0.01, caller.starts_at - now)
                return NamedReturn(round(place_s, 2), place_s, seconds)
        delay = max(horizon, start_delay) + UNBOOKED_SPREAD_S * self._next_spread()
        return NamedReturn(round(delay, 2))

    def import_places(self, places: Iterable[m.KnownPlace], now: float) -> None:
        """Add the places that an instance knows; a used one replaces an unused one."""
        self._advance(now)
        for place in places:
            self._import_place(place, now)

    def _import_place(self, place: m.KnownPlace, now: float) -> None:
        if not place.identity or place.starts_at + LATE_TOLERANCE_S <= now:
            return
        caller = self._callers.get(place.identity)
        if caller is not None:
            if place.used and caller.has_place:
                self._use(caller)
            return
        caller = _RefusedCaller(
            place.customer,
            place.rank,
            place.seconds,
            place.starts_at,
            0.0,
            now + MEMORY_S,
            used=place.used,
        )
        self._add(place.identity, caller)
        if place.used:
            return
        place_bin = max(self._current_bin, _bin_at(place.starts_at))
        caller.bins = ((place_bin, place.seconds),)
        self._open(caller)
        heapq.heappush(
            self._place_ends, (place.starts_at + LATE_TOLERANCE_S, place.identity)
        )

    def _remember(self, work: m.Work, seconds: float, now: float) -> _RefusedCaller:
        # A request that failed at a target asks again with less than its objective
        # left; the objective is then taken from the caller's next attempt.
        objective = 0.0 if work.avoid else work.first_token_due - work.received_at
        caller = _RefusedCaller(
            work.customer,
            work.rank,
            seconds,
            now,
            max(0.0, objective),
            now + MEMORY_S,
        )
        self._add(work.identity, caller)
        return caller

    def _add(self, identity: int, caller: _RefusedCaller) -> None:
        if len(self._callers) >= MAX_KNOWN:
            self._forget_oldest()
        self._callers[identity] = caller
        self._refused_by_customer[caller.customer] += 1
        if caller.customer not in self._weights:
            self._weights[caller.customer] = self._weight(caller.customer)
            self._total_weight = sum(self._weights.values())

    def _book(
        self,
        caller: _RefusedCaller,
        now: float,
        start_delay: float,
        horizon: float,
        service_rate: float,
        only_spare: bool,
    ) -> bool:
        """Book the earliest place within the horizon; return whether there is one.

        A request that needs more than a bin has takes the rest of several bins, and its
        place is in the last one.
        """
        service_rate *= self._busy_service.ratio(service_rate)
        spare = service_rate - self.demand(now)
        if not only_spare:
            spare = max(spare, MIN_PLACE_SHARE * service_rate)
        first_bin = _bin_at(now + max(start_delay, MIN_RETURN_S)) + 1
        end_bin = _bin_at(now + horizon)
        if spare <= 0 or first_bin >= end_bin:
            return False
        if not self._is_within_weight(caller, spare * horizon):
            return False
        needed, bins = caller.seconds, []
        for number in range(first_bin, end_bin):
            free = spare * BIN_S - self._booked.get(number, 0.0)
            if free <= 0:
                continue
            taken = min(free, needed)
            bins.append((number, taken))
            needed -= taken
            if needed <= 0:
                caller.starts_at = (number + self._next_spread()) * BIN_S
                caller.bins = tuple(bins)
                self._open(caller)
                self.counts.booked += 1
                return True
        return False

    def _is_within_weight(self, caller: _RefusedCaller, available: float) -> bool:
        """Whether a customer may book one more place, by its weight.

        The places within a horizon are shared among the customers with refused
        requests.
        """
        booked = self._booked_by_customer.get(caller.customer, 0.0)
        if not booked:
            return True
        share = self._weights[caller.customer] / self._total_weight
        return booked + caller.seconds <= share * available

    def _open(self, caller: _RefusedCaller) -> None:
        caller.has_place = True
        for number, seconds in caller.bins:
            self._booked[number] = self._booked.get(number, 0.0) + seconds
        self._booked_by_customer[caller.customer] += caller.seconds
        self.counts.open += 1

    def _close(self, caller: _RefusedCaller) -> None:
        caller.has_place = False
        self.counts.open -= 1
        left = self._booked_by_customer[caller.customer] - caller.seconds
        if left > 1e-9:
            self._booked_by_customer[caller.customer] = left
        else:
            del self._booked_by_customer[caller.customer]

    def _use(self, caller: _RefusedCaller) -> None:
        self._close(caller)
        caller.used = True
        self.counts.used += 1

    def _release_bins(self, caller: _RefusedCaller) -> None:
        for number, seconds in caller.bins:
            if number in self._booked:
                self._booked[number] -= seconds
        caller.bins = ()

    def _advance(self, now: float) -> None:
        """Drop past bins, places that are over and callers refused long ago."""
        current = _bin_at(now)
        if current != self._current_bin:
            self._current_bin = current
            self._booked = {n: s for n, s in self._booked.items() if n >= current}
        while self._place_ends and self._place_ends[0][0] < now:
            _end, identity = heapq.heappop(self._place_ends)
            caller = self._callers.get(identity)
            if caller and caller.has_place:
                self._close(caller)
                self.counts.expired += 1
        while self._callers:
            if next(iter(self._callers.values())).forget_at > now:
                break
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _identity, caller = self._callers.popitem(last=False)
        if caller.has_place:
            self._close(caller)
            self._release_bins(caller)
            self.counts.expired += 1
        self._refused_by_customer[caller.customer] -= 1
        if not self._refused_by_customer[caller.customer]:
            del self._refused_by_customer[caller.customer]
            del self._weights[caller.customer]
            self._total_weight = sum(self._weights.values())

    def _next_spread(self) -> float:
        """Return the next of a sequence spread evenly over 0 to 1."""
        self._spread_number += 1
        return self._spread_number * GOLDEN_RATIO % 1.0


def _bin_at(moment: float) -> int:
    return math.floor(moment / BIN_S)


def _horizon(work: m.Work, now: float) -> float:
    """Return the longest delay in seconds that a caller honours."""
    if not work.answer_due:
        return UNKNOWN_DEADLINE_HORIZON_S
    left = max(0.0, work.answer_due - now)
    return min(MAX_HORIZON_S, HONOURED_SHARE * left)
