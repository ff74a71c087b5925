"""hibiscusstep.forwarding.usage: what all instances let customers use."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from hibiscusstep.forwarding.window import Window
from hibiscusstep.peer import Usage, UsageHistory, UsageScope

__all__ = ["RECENT_STEP_S", "UsageLedger"]

# What is handed on is told by ages in steps this wide, each taken for its youngest: a
# customer at its limit is refused so much longer on an instance that has just started.
RECENT_STEP_S = 0.5
# What was heard in the last second is the rate at which more is used unheard.
LATELY_S = 1.0
# A relay knows the window as far back as its follower, but for what the heartbeats and
# the first messages between them take.
SAME_KNOWLEDGE_S = 1.0


@dataclass(slots=True)
class _Record:
    """What one source let customers use: an instance, a relay's group, or the store.

    Parameters
    ----------
    scope : str
        One of `UsageScope`.
    heard_at : float
        When, on the loop's clock.
    totals : dict of str to int
        Tokens by customer since the start of the source.
    counted : dict of str to int
        Those of them that were counted here.
    windows : dict of str to Window
        Those of the last window.
    """

    scope: str
    heard_at: float
    totals: dict[str, int] = field(default_factory=dict)
    counted: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    windows: dict[str, Window] = field(default_factory=dict)


class UsageLedger:
    """Sums of customers' tokens over a sliding window, by source.

    Totals since the start of a source only grow, so that it does not matter who tells
    them how often: of two, the larger is the later. That lets any instance tell what
    it knows of any other one, ended ones too.

    Parameters
    ----------
    incarnation : str
        Own one.
    span : float
        Seconds of the window.
    now : float
        The start of this instance, on the loop's clock.

    Attributes
    ----------
    listed : frozenset of str or None
        Customers of which something was kept in the store before this instance, or all
        of them, started; None while that is not known.
    """

    def __init__(self, incarnation: str, span: float, now: float) -> None:
        self._incarnation = incarnation
        self._span = span
        self._began = now
        self._known_since = now
        self._own = _Record(UsageScope.GROUP, now)
        self._records: dict[tuple[str, str], _Record] = {}
        # What this instance told to a relay that it no longer follows. The others have
        # it from that one; here it counts until they tell it.
        self._apart: dict[str, Window] = {}
        self._lately: dict[str, Window] = {}
        # Tokens since the start: of this instance and its followers, and of all.
        self._of_group: dict[str, int] = defaultdict(int)
        self._of_all: dict[str, int] = defaultdict(int)
        self.listed: frozenset[str] | None = None

    @property
    def of_group(self) -> dict[str, int]:
        """Tokens by customer that this instance and its followers let through."""
        return self._of_group

    @property
    def of_all(self) -> dict[str, int]:
        """Tokens by customer that were counted here, of all sources."""
        return self._of_all

    def age(self, now: float) -> float:
        """Return the seconds since the start."""
        return now - self._began

    def known_for(self, now: float) -> float:
        """Return the seconds for which what was used is known."""
        return now - self._known_since

    def knows_window(self, now: float) -> bool:
        """Whether all that was used in the window is known."""
        return self.known_for(now) >= self._span

    def knows_before(self, now: float) -> bool:
        """Whether the use before the start is known, or what was kept of it."""
        return self.listed is not None or self.knows_window(now)

    def own(self, name: str, now: float) -> float:
        """Return what this instance let a customer use in the window."""
        apart = self._apart[name].total(now) if name in self._apart else 0.0
        return _total(self._own, name, now) + apart

    def others(self, name: str, now: float) -> float:
        """Return what all other sources did."""
        return sum(_total(record, name, now) for record in self._records.values())

    def total_used(self, name: str, now: float) -> float:
        """Return what all instances let a customer use in the window."""
        return self.own(name, now) + self.others(name, now)

    def lately(self, name: str, now: float) -> float:
        """Return what was heard of other instances' use in the last second."""
        return self._lately[name].total(now) if name in self._lately else 0.0

    def use(self, name: str, tokens: int, now: float) -> None:
        """Count what this instance lets through."""
        self._count(self._own, name, tokens, [(now, tokens)])

    def hear(self, usage: Usage, now: float) -> bool:
        """Take what another source tells of itself; False if it must tell it whole."""
        record = self._records.get((usage.incarnation, usage.scope))
        if record is None:
            return False
        record.heard_at = now
        for name, total in zip(usage.customers, usage.totals, strict=True):
            new = total - record.totals.get(name, 0)
            if new > 0:
                record.totals[name] = total
                self._count(record, name, new, [(now, new)])
                self._lately.setdefault(name, Window(LATELY_S)).add(new, now)
        return True

    def follows_another(self, incarnation: str) -> bool:
        """Whether what is known of the others was told by another relay than this."""
        relays = {i for i, scope in self._records if scope == UsageScope.ALL}
        return bool(relays) and incarnation not in relays

    def set_apart(self, told: dict[str, int]) -> None:
        """Tell no more as one's own what was told to the relay that was followed.

        It told the others, so a new one that heard it again would count it twice: of a
        customer that used .4 of its limit up to a quarter was refused for seconds.

        Parameters
        ----------
        told : dict of str to int
            Totals since the start that were told, by customer.
        """
        for name, window in self._own.windows.items():
            untold = self._of_group[name] - told.get(name, 0)
            self._set_apart(name, window.take_older(untold))
        for record in self._drop({UsageScope.FOLLOWER}):
            for name, window in record.windows.items():
                self._set_apart(name, window.take_older(0))

    def _set_apart(self, name: str, parts: Iterable[tuple[float, float]]) -> None:
        window = self._apart.setdefault(name, Window(self._span))
        for at, amount in parts:
            window.add(amount, at)

    def take_history(self, history: UsageHistory, now: float) -> None:
        """Take what another instance knows of the window, of all sources.

        What a new relay knows takes the place of what is known here if it reaches as
        far back; else both count until this has expired. What was read from the store
        stands in for what instances know themselves. Of two readings that of the older
        instance goes first: the younger one's may hold what is told by living
        instances as well.
        """
        if history.usages and history.usages[0].scope == UsageScope.FOLLOWER:
            # It tells what it let through itself, however much it knows.
            self._take_whole(history.usages[0], now)
            return
        if self._replaces_all(history, now):
            self._records.clear()
            self._apart.clear()
        older = history.age > self.age(now)
        takes_kept = self.listed is None or older
        if history.known_for >= self._span or (history.kept_known and takes_kept):
            self._drop({UsageScope.KEPT})
        if history.kept_known and takes_kept:
            self.listed = frozenset(history.listed)
        for number, usage in enumerate(history.usages):
            if usage.scope != UsageScope.KEPT or takes_kept:
                self._take_whole(usage, now, retold=number > 0)
        self._known_since = min(self._known_since, now - history.known_for)

    def _replaces_all(self, history: UsageHistory, now: float) -> bool:
        """Whether a relay tells its follower all that is known here, and more."""
        direct = history.usages[0] if history.usages else None
        if direct is None or direct.scope != UsageScope.ALL:
            return False
        known_for = min(self._span, self.known_for(now))
        if self._records.keys() == {(direct.incarnation, direct.scope)}:
            # It has learnt what was used before: its first word may rest on the store.
            return history.known_for > known_for + SAME_KNOWLEDGE_S
        return history.known_for >= known_for - SAME_KNOWLEDGE_S

    def take_kept(self, usage: Usage, now: float) -> None:
        """Take what was read from the store, unless the window is known by now."""
        if self.listed is None and not self.knows_window(now):
            self.listed = frozenset(usage.customers)
            self._take_whole(usage, now)

    def _take_whole(self, usage: Usage, now: float, *, retold: bool = False) -> None:
        source = usage.incarnation, usage.scope
        if usage.incarnation == self._incarnation:
            return
        if usage.scope == UsageScope.GROUP and self._drop({UsageScope.ALL}):
            # This instance has become a relay; the others tell what its own one did.
            self._apart.clear()
        record = self._records.setdefault(source, _Record(usage.scope, now))
        if not retold:
            record.heard_at = now
        for name, total, ages in _rows(usage):
            new = total - record.totals.get(name, 0)
            if new > 0:
                record.totals[name] = total
                parts = _newest(new, _moments(ages, now))
                self._count(record, name, sum(part for _at, part in parts), parts)

    def _drop(self, scopes: set[str]) -> list[_Record]:
        """Drop the sources of some scopes; return them."""
        records = self._records.items()
        self._records = {s: r for s, r in records if r.scope not in scopes}
        return [r for _source, r in records if r.scope in scopes]

    def _count(
        self, record: _Record, name: str, new: int, parts: Iterable[tuple[float, int]]
    ) -> None:
        window = record.windows.setdefault(name, Window(self._span))
        for at, amount in parts:
            window.add(amount, at)
        record.counted[name] += new
        self._of_all[name] += new
        if record is self._own or record.scope == UsageScope.FOLLOWER:
            self._of_group[name] += new

    def forget_old(self, now: float) -> None:
        """Drop the sources that told nothing for two windows."""
        horizon = now - 2 * self._span
        kept = self._records.items()
        self._records = {s: r for s, r in kept if r.heard_at > horizon}

    def totals(self, scope: str, follower: str, names: Iterable[str]) -> list[int]:
        """Return the totals of customers as they are told.

        Parameters
        ----------
        scope : str
            Of what is told: ALL to a follower, else that of this instance itself.
        follower : str
            Incarnation of the follower that is told, whose own part is left out.
        names : iterable of str
            The customers.
        """
        if scope != UsageScope.ALL:
            return [self._of_group[name] for name in names]
        record = self._records.get((follower, UsageScope.FOLLOWER))
        own = record.counted if record else {}
        return [self._of_all[name] - own.get(name, 0) for name in names]

    def history(self, scope: str, now: float, follower: str = "") -> UsageHistory:
        """Return all that is known of the window; as for `totals`."""
        usages = [self._whole(scope, now, follower)]
        if scope == UsageScope.GROUP:
            usages += self._retold(now)
        listed = [] if self.listed is None else sorted(self.listed)
        age, known_for = self.age(now), self.known_for(now)
        kept_known = self.listed is not None
        return UsageHistory(age, known_for, kept_known, listed, usages)

    def _whole(self, scope: str, now: float, follower: str) -> Usage:
        """Return what this instance tells as its own, with the ages of it."""
        names = list(self._of_all if scope == UsageScope.ALL else self._of_group)
        totals = self.totals(scope, follower, names)
        sources = list(self._sources(scope, follower))
        rows = [_sum_by_age(sources, name, now) for name in names]
        return _usage(self._incarnation, scope, names, totals, rows)

    def _sources(self, scope: str, follower: str) -> Iterator[dict[str, Window]]:
        yield self._own.windows
        if scope == UsageScope.ALL:
            yield self._apart
        for source, record in self._records.items():
            in_group = record.scope == UsageScope.FOLLOWER
            receiver = source == (follower, UsageScope.FOLLOWER)
            if (in_group or scope == UsageScope.ALL) and not receiver:
                yield record.windows

    def _retold(self, now: float) -> Iterator[Usage]:
        """Yield what other groups and the store told, those of ended ones too."""
        for (incarnation, _scope), record in self._records.items():
            if record.scope not in (UsageScope.GROUP, UsageScope.KEPT):
                continue
            names = [n for n, window in record.windows.items() if window.total(now)]
            if not names:
                continue
            totals = [record.totals[name] for name in names]
            rows = [_sum_by_age([record.windows], name, now) for name in names]
            yield _usage(incarnation, record.scope, names, totals, rows)

    def by_age(self, name: str, now: float) -> list[int]:
        """Return what a customer used in the window, by steps of age, newest first."""
        return _sum_by_age(self._sources(UsageScope.ALL, ""), name, now)


def _total(record: _Record, name: str, now: float) -> float:
    return record.windows[name].total(now) if name in record.windows else 0.0


def _sum_by_age(
    sources: Iterable[dict[str, Window]], name: str, now: float
) -> list[int]:
    windows = [windows[name] for windows in sources if name in windows]
    rows = [window.by_age(now, RECENT_STEP_S) for window in windows]
    return [round(sum(column)) for column in zip(*rows, strict=True)]


def _usage(incarnation: str, scope: str, names, totals, rows) -> Usage:
    recent = [amount for row in rows for amount in row]
    return Usage(incarnation, scope, list(names), list(totals), recent)


def _rows(usage: Usage) -> Iterator[tuple[str, int, list[int]]]:
    """Yield customer, total, and its parts by age."""
    steps = len(usage.recent) // len(usage.customers) if usage.customers else 0
    for number, (name, total) in enumerate(
        zip(usage.customers, usage.totals, strict=True)
    ):
        yield name, total, usage.recent[number * steps : (number + 1) * steps]


def _moments(ages: list[int], now: float) -> Iterator[tuple[float, int]]:
    for number, amount in enumerate(ages):
        yield now - number * RECENT_STEP_S, amount


def _newest(most: int, parts: Iterable[tuple[float, int]]) -> list[tuple[float, int]]:
    """Return the first of the parts that add up to so much at the most."""
    taken = []
    for at, amount in parts:
        part = min(amount, most)
        if part:
            taken.append((at, part))
        most -= part
    return taken
