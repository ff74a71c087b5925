"""hibiscusstep.forwarding.usage: token usage of customers on all instances."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from hibiscusstep.forwarding.window import SlidingWindow
from hibiscusstep.peer import Usage, UsageHistory, UsageScope

__all__ = ["AGE_STEP_S", "UsageLedger"]

# Width in seconds of the age steps in which usage is sent. The receiver assumes the
# youngest age of each step, so an instance that has just started refuses a customer at
# its limit for up to this much longer.
AGE_STEP_S = 0.5
# Usage received in the last second estimates the rate of usage not yet received.
RECENT_RATE_WINDOW_S = 1.0
# A relay counts as knowing as much history as its follower if it is short by at most
# this: the time of the heartbeats and first messages between them.
HISTORY_TOLERANCE_S = 1.0


@dataclass(slots=True)
class _SourceUsage:
    """Token usage reported by one source: an instance, a relay's group, or the store.

    Parameters
    ----------
    scope : str
        Whose usage the source reports, one of `UsageScope`.
    received_at : float
        Time of the last message from the source, on the loop's clock.
    totals : dict of str to int
        Tokens by customer since the start of the source.
    counted_here : dict of str to int
        The part of them that was counted here.
    windows : dict of str to SlidingWindow
        Tokens by customer in the quota window.
    """

    scope: str
    received_at: float
    totals: dict[str, int] = field(default_factory=dict)
    counted_here: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    windows: dict[str, SlidingWindow] = field(default_factory=dict)


class UsageLedger:
    """Token usage of customers in a sliding window, by source.

    Totals since the start of a source only grow, so they may be received repeatedly and
    from any sender: of two totals the larger is the newer. Any instance can therefore
    forward the usage of any other instance, including ended ones.

    Parameters
    ----------
    incarnation : str
        Own incarnation.
    span : float
        Length of the window in seconds.
    now : float
        Start of this instance, on the loop's clock.

    Attributes
    ----------
    listed : frozenset of str or None
        Customers in the document that was in the store before this instance, or all
        instances, started; None while that is not known, also after a pause.
    """

    def __init__(self, incarnation: str, span: float, now: float) -> None:
        self._incarnation = incarnation
        self._span = span
        self._started_at = now
        self._known_since = now
        self._own_source = _SourceUsage(UsageScope.GROUP, now)
        # By incarnation and scope.
        self._records: dict[tuple[str, str], _SourceUsage] = {}
        # Usage that this instance sent to a relay that it no longer follows. Others
        # received it from that relay; it counts here until they report it.
        self._detached: dict[str, SlidingWindow] = {}
        self._recent_windows: dict[str, SlidingWindow] = {}
        # Tokens since the start: of this instance with its followers, and of all.
        self._group_totals: dict[str, int] = defaultdict(int)
        self._all_totals: dict[str, int] = defaultdict(int)
        self.listed: frozenset[str] | None = None

    @property
    def group_totals(self) -> dict[str, int]:
        """Tokens by customer used through this instance and its followers."""
        return self._group_totals

    @property
    def all_totals(self) -> dict[str, int]:
        """Tokens by customer of all sources, as counted here."""
        return self._all_totals

    def age(self, now: float) -> float:
        """Return the seconds since the start of this instance."""
        return now - self._started_at

    def known_for(self, now: float) -> float:
        """Return the length in seconds of the period whose usage is known."""
        return now - self._known_since

    def knows_window(self, now: float) -> bool:
        """Return whether all usage in the window is known."""
        return self.known_for(now) >= self._span

    def knows_history(self, now: float) -> bool:
        """Return whether usage before the start is known, if only from the store."""
        return self.listed is not None or self.knows_window(now)

    def forget_knowledge(self, now: float) -> None:
        """Take the usage of others for unknown until another instance reports it.

        What was counted so far still counts.
        """
        self._known_since = now
        self.listed = None

    def own_usage(self, name: str, now: float) -> float:
        """Return the tokens used through this instance in the window."""
        detached = self._detached[name].total(now) if name in self._detached else 0.0
        return _total(self._own_source, name, now) + detached

    def others_usage(self, name: str, now: float) -> float:
        """Return the tokens used through all other sources in the window."""
        return sum(_total(record, name, now) for record in self._records.values())

    def total_usage(self, name: str, now: float) -> float:
        """Return the tokens used through all instances in the window."""
        return self.own_usage(name, now) + self.others_usage(name, now)

    def recent_others_usage(self, name: str, now: float) -> float:
        """Return the tokens that other instances reported in the last second."""
        return (
            self._recent_windows[name].total(now)
            if name in self._recent_windows
            else 0.0
        )

    def add_own(self, name: str, tokens: int, now: float) -> None:
        """Count tokens used through this instance."""
        self._add(self._own_source, name, tokens, [(now, tokens)])

    def apply_update(self, usage: Usage, now: float) -> bool:
        """Apply new totals of a source; return False if its history is needed first."""
        record = self._records.get((usage.incarnation, usage.scope))
        if record is None:
            return False
        record.received_at = now
        for name, total in zip(usage.customers, usage.totals, strict=True):
            added = total - record.totals.get(name, 0)
            if added > 0:
                record.totals[name] = total
                self._add(record, name, added, [(now, added)])
                self._recent_windows.setdefault(
                    name, SlidingWindow(RECENT_RATE_WINDOW_S)
                ).add(added, now)
        return True

    def relay_changed(self, incarnation: str) -> bool:
        """Return whether the usage of others came from a relay other than this one."""
        relays = {i for i, scope in self._records if scope == UsageScope.ALL}
        return bool(relays) and incarnation not in relays

    def detach_sent(self, sent_totals: dict[str, int]) -> None:
        """Exclude usage that was sent to the previous relay from later messages.

        That relay forwarded it, so a new relay that received it again would count it
        twice: up to a quarter of the requests of a customer that used 0.4 of its limit
        were refused for seconds.

        Parameters
        ----------
        sent_totals : dict of str to int
            Totals since the start that were sent, by customer.
        """
        for name, window in self._own_source.windows.items():
            unsent = self._group_totals[name] - sent_totals.get(name, 0)
            self._add_detached(name, window.pop_older(unsent))
        for record in self._remove_scopes({UsageScope.FOLLOWER}):
            for name, window in record.windows.items():
                self._add_detached(name, window.pop_older(0))

    def _add_detached(self, name: str, parts: Iterable[tuple[float, float]]) -> None:
        window = self._detached.setdefault(name, SlidingWindow(self._span))
        for at, amount in parts:
            window.add(amount, at)

    def apply_history(self, history: UsageHistory, now: float) -> None:
        """Apply the usage history of another instance.

        The history of a new relay replaces what is known here if it reaches as far
        back; otherwise both count until the older data has expired. Saved usage only
        fills in for usage that no instance knows. Of two readings of the store that of
        the older instance is used, because the younger one may include usage that live
        instances also report.
        """
        if history.usages and history.usages[0].scope == UsageScope.FOLLOWER:
            # A follower reports only its own usage, whatever else it knows.
            self._apply_full(history.usages[0], now)
            return
        if self._replaces_all(history, now):
            self._records.clear()
            self._detached.clear()
        older = history.age > self.age(now)
        accepts_stored = self.listed is None or older
        if history.known_for >= self._span or (history.kept_known and accepts_stored):
            self._remove_scopes({UsageScope.KEPT})
        if history.kept_known and accepts_stored:
            self.listed = frozenset(history.listed)
        for number, usage in enumerate(history.usages):
            if usage.scope != UsageScope.KEPT or accepts_stored:
                self._apply_full(usage, now, forwarded=number > 0)
        self._known_since = min(self._known_since, now - history.known_for)

    def _replaces_all(self, history: UsageHistory, now: float) -> bool:
        """Return whether a relay's history covers all that is known here."""
        first_usage = history.usages[0] if history.usages else None
        if first_usage is None or first_usage.scope != UsageScope.ALL:
            return False
        known_for = min(self._span, self.known_for(now))
        if self._records.keys() == {(first_usage.incarnation, first_usage.scope)}:
            # The relay knows more by now; its first history may be the stored one.
            return history.known_for > known_for + HISTORY_TOLERANCE_S
        return history.known_for >= known_for - HISTORY_TOLERANCE_S

    def apply_stored(self, usage: Usage, now: float) -> None:
        """Apply saved usage unless the window is already known."""
        if self.listed is None and not self.knows_window(now):
            self.listed = frozenset(usage.customers)
            self._apply_full(usage, now)

    def _apply_full(self, usage: Usage, now: float, *, forwarded: bool = False) -> None:
        source = usage.incarnation, usage.scope
        if usage.incarnation == self._incarnation:
            return
        if usage.scope == UsageScope.GROUP and self._remove_scopes({UsageScope.ALL}):
            # This instance became a relay; other relays report its old relay's usage.
            self._detached.clear()
        record = self._records.setdefault(source, _SourceUsage(usage.scope, now))
        if not forwarded:
            record.received_at = now
        for name, total, ages in _unpack_rows(usage):
            added = total - record.totals.get(name, 0)
            if added > 0:
                record.totals[name] = total
                parts = _take_newest(added, _timestamps(ages, now))
                self._add(record, name, sum(part for _at, part in parts), parts)

    def _remove_scopes(self, scopes: set[str]) -> list[_SourceUsage]:
        """Remove the sources of the given scopes and return them."""
        records = self._records.items()
        self._records = {s: r for s, r in records if r.scope not in scopes}
        return [r for _source, r in records if r.scope in scopes]

    def _add(
        self,
        record: _SourceUsage,
        name: str,
        added: int,
        parts: Iterable[tuple[float, int]],
    ) -> None:
        window = record.windows.setdefault(name, SlidingWindow(self._span))
        for at, amount in parts:
            window.add(amount, at)
        record.counted_here[name] += added
        self._all_totals[name] += added
        if record is self._own_source or record.scope == UsageScope.FOLLOWER:
            self._group_totals[name] += added

    def drop_stale(self, now: float) -> None:
        """Remove the sources that sent nothing for two windows."""
        horizon = now - 2 * self._span
        records = self._records.items()
        self._records = {s: r for s, r in records if r.received_at > horizon}

    def totals(self, scope: str, follower: str, names: Iterable[str]) -> list[int]:
        """Return the totals of customers to send.

        Parameters
        ----------
        scope : str
            Scope of the message: ALL to a follower, else the own scope.
        follower : str
            Incarnation of the receiving follower, whose own usage is left out.
        names : iterable of str
            Names of the customers.
        """
        if scope != UsageScope.ALL:
            return [self._group_totals[name] for name in names]
        record = self._records.get((follower, UsageScope.FOLLOWER))
        own = record.counted_here if record else {}
        return [self._all_totals[name] - own.get(name, 0) for name in names]

    def make_history(self, scope: str, now: float, follower: str = "") -> UsageHistory:
        """Return the usage history to send; parameters as for `totals`."""
        usages = [self._make_own_usage(scope, now, follower)]
        if scope == UsageScope.GROUP:
            usages += self._forwarded_usages(now)
        listed = [] if self.listed is None else sorted(self.listed)
        age, known_for = self.age(now), self.known_for(now)
        kept_known = self.listed is not None
        return UsageHistory(age, known_for, kept_known, listed, usages)

    def _make_own_usage(self, scope: str, now: float, follower: str) -> Usage:
        """Return the usage that this instance reports as its own, by age."""
        names = list(
            self._all_totals if scope == UsageScope.ALL else self._group_totals
        )
        totals = self.totals(scope, follower, names)
        sources = list(self._windows_to_send(scope, follower))
        rows = [_sum_by_age(sources, name, now) for name in names]
        return _make_usage(self._incarnation, scope, names, totals, rows)

    def _windows_to_send(
        self, scope: str, follower: str
    ) -> Iterator[dict[str, SlidingWindow]]:
        yield self._own_source.windows
        if scope == UsageScope.ALL:
            yield self._detached
        for source, record in self._records.items():
            in_group = record.scope == UsageScope.FOLLOWER
            receiver = source == (follower, UsageScope.FOLLOWER)
            if (in_group or scope == UsageScope.ALL) and not receiver:
                yield record.windows

    def _forwarded_usages(self, now: float) -> Iterator[Usage]:
        """Yield the usage of other groups, including ended ones, and of the store."""
        for (incarnation, _scope), record in self._records.items():
            if record.scope not in (UsageScope.GROUP, UsageScope.KEPT):
                continue
            names = [n for n, window in record.windows.items() if window.total(now)]
            if not names:
                continue
            totals = [record.totals[name] for name in names]
            rows = [_sum_by_age([record.windows], name, now) for name in names]
            yield _make_usage(incarnation, record.scope, names, totals, rows)

    def by_age(self, name: str, now: float) -> list[int]:
        """Return a customer's tokens in the window by age step, newest first."""
        return _sum_by_age(self._windows_to_send(UsageScope.ALL, ""), name, now)


def _total(record: _SourceUsage, name: str, now: float) -> float:
    return record.windows[name].total(now) if name in record.windows else 0.0


def _sum_by_age(
    sources: Iterable[dict[str, SlidingWindow]], name: str, now: float
) -> list[int]:
    windows = [windows[name] for windows in sources if name in windows]
    rows = [window.by_age(now, AGE_STEP_S) for window in windows]
    return [round(sum(column)) for column in zip(*rows, strict=True)]


def _make_usage(incarnation: str, scope: str, names, totals, rows) -> Usage:
    recent = [amount for row in rows for amount in row]
    return Usage(incarnation, scope, list(names), list(totals), recent)


def _unpack_rows(usage: Usage) -> Iterator[tuple[str, int, list[int]]]:
    """Yield each customer with its total and its tokens by age step."""
    steps = len(usage.recent) // len(usage.customers) if usage.customers else 0
    for number, (name, total) in enumerate(
        zip(usage.customers, usage.totals, strict=True)
    ):
        yield name, total, usage.recent[number * steps : (number + 1) * steps]


def _timestamps(ages: list[int], now: float) -> Iterator[tuple[float, int]]:
    for number, amount in enumerate(ages):
        yield now - number * AGE_STEP_S, amount


def _take_newest(
    limit: int, parts: Iterable[tuple[float, int]]
) -> list[tuple[float, int]]:
    """Return the leading parts that add up to at most the limit."""
    taken = []
    for at, amount in parts:
        part = min(amount, limit)
        if part:
            taken.append((at, part))
        limit -= part
    return taken
