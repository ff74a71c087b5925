"""What targets announce in responses: read, merged, and passed on between instances."""

import asyncio
import contextlib
import itertools
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep import codec
from hibiscusstep.forwarding import state_distributor
from hibiscusstep.forwarding.announcement import (
    MAX_MALFORMED,
    MIN_RAISE,
    AnnouncementReader,
)
from hibiscusstep.forwarding.catalog import Catalog, TargetsAnnounced, TargetUpdate
from hibiscusstep.forwarding.dialect import TargetResponseHead
from hibiscusstep.forwarding.model import DiscoveredTarget, RateLimit
from hibiscusstep.forwarding.state_distributor import StateDistributor
from hibiscusstep.forwarding.target_messages import from_target_states, to_target_state
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import TargetState, TargetStates
from hibiscusstep.store import Change

LIMITS = st.one_of(st.none(), st.floats(0.0, 50.0))
REGISTERS = st.builds(RateLimit, LIMITS, st.integers(0, 3))


def _target(limit=None, version=0, revision=7, **fields):
    fields = {"id": "t", "incarnation": 0, "leaving": False, **fields}
    return DiscoveredTarget(
        pool="p", address="127.0.0.1:1", data_centre="z", slots=2, revision=revision,
        rate_limit=RateLimit(limit, version), **fields,
    )  # fmt: skip


def _head(limit=None, **fields):
    fields = {"sealed": True, "not_run": False, "malformed_rate_limit": "", **fields}
    return TargetResponseHead(
        request="r", misdirected=False, is_reencoded=False, running=-1, waiting=-1,
        idle_timeout=0.0, rate_limit=limit, **fields,
    )  # fmt: skip


class TestRateLimit:
    @given(REGISTERS, REGISTERS, REGISTERS)
    def test_merging_gives_the_same_in_any_order(self, a, b, c):
        results = {x.merge(y).merge(z) for x, y, z in itertools.permutations((a, b, c))}
        assert results == {a.merge(b.merge(c))}
        assert a.merge(a) == a

    def test_the_newer_one_wins(self):
        assert RateLimit(1.0, 1).merge(RateLimit(None, 2)) == RateLimit(None, 2)

    def test_of_two_that_replaced_the_same_one_the_lower_wins(self):
        assert RateLimit(1.0, 2).merge(RateLimit(8.0, 2)) == RateLimit(1.0, 2)
        assert RateLimit(None, 2).merge(RateLimit(8.0, 2)) == RateLimit(8.0, 2)


class TestAnnouncementReader:
    def _read(self, known, head, sent_when=None, is_own=True):
        """Return the limits that reading a response announces."""
        announced = []
        reader = AnnouncementReader({known.name: known}, announced.append)
        reader.read(sent_when or known, head, is_own=is_own)
        return [target.rate_limit for target in announced]

    def test_a_first_limit(self):
        assert self._read(_target(), _head(1.2)) == [RateLimit(1.2, 1)]

    def test_the_known_limit_again_is_no_news(self):
        assert self._read(_target(1.2, 1), _head(1.2)) == []

    @pytest.mark.parametrize("limit", [0.5, 8.0])
    def test_a_changed_limit(self, limit):
        assert self._read(_target(1.2, 3), _head(limit)) == [RateLimit(limit, 4)]

    def test_a_slightly_higher_limit_is_no_news(self):
        assert self._read(_target(1.2, 3), _head(1.25)) == []
        assert self._read(_target(1.2, 3), _head(1.27)) == [RateLimit(1.27, 4)]

    def test_a_slightly_lower_one_is(self):
        assert self._read(_target(1.2, 3), _head(1.19)) == [RateLimit(1.19, 4)]

    def test_a_response_without_the_field_ends_the_limit(self):
        assert self._read(_target(1.2, 1), _head()) == [RateLimit(None, 2)]

    @pytest.mark.parametrize(
        "fields",
        [{"not_run": True}, {"sealed": False}, {"malformed_rate_limit": "few"}],
    )
    def test_other_responses_end_nothing(self, fields):
        assert self._read(_target(1.2, 1), _head(**fields)) == []

    def test_a_rejection_may_name_a_limit(self):
        head = _head(1.2, not_run=True, sealed=False)
        assert self._read(_target(), head) == [RateLimit(1.2, 1)]

    @pytest.mark.parametrize("limit", [None, 8.0])
    def test_a_request_sent_before_the_limit_was_known_does_not_change_it(self, limit):
        head, known = _head(limit), _target(1.2, 2)
        assert self._read(known, head, sent_when=_target()) == []

    def test_a_late_response_to_an_earlier_request_ends_nothing(self):
        known = _target(1.2, 1)
        assert self._read(known, _head(), is_own=False) == []
        assert self._read(known, _head(8.0), is_own=False) == []

    def test_a_late_response_to_an_earlier_request_may_name_the_first_limit(self):
        assert self._read(_target(), _head(1.2), is_own=False) == [RateLimit(1.2, 1)]

    def test_leaving_is_announced_once(self):
        announced = []
        target = _target()
        reader = AnnouncementReader({"t": target}, announced.append)
        reader.read(target, _head(leaving=True), is_own=True)
        assert [a.leaving for a in announced] == [True]
        reader = AnnouncementReader({"t": announced[0]}, announced.append)
        reader.read(target, _head(leaving=True), is_own=True)
        assert len(announced) == 1

    def test_a_target_whose_entry_has_expired_may_announce_too(self):
        announced = []
        reader = AnnouncementReader({}, announced.append)
        reader.read(_target(), _head(1.2, leaving=True), is_own=True)
        (target,) = announced
        assert target.leaving and target.rate_limit == RateLimit(1.2, 1)

    def test_a_malformed_limit_is_logged_once(self, caplog):
        caplog.set_level("INFO")
        reader = AnnouncementReader({"t": _target()}, lambda _target: None)
        for text in ("few", "few", "many" * 100):
            head = _head(malformed_rate_limit=text)
            reader.read(_target(), head, is_own=True)
        lines = [r for r in caplog.records if r.message == "rate-limit-malformed"]
        assert [line.target for line in lines] == ["t", "t"]
        assert lines[0].value == "few" and len(lines[1].value) <= 80

    def test_a_malformed_pace_is_logged_once_for_a_target(self, caplog):
        """A target sends it with each response, many times a second."""
        caplog.set_level("INFO")
        targets = [_target(), _target(id="u")]
        reader = AnnouncementReader({}, lambda _target: None)
        for target, text in itertools.product(targets, ("few", "few", "many" * 100)):
            head = _head(malformed_pace=text, malformed_rate_limit="few")
            reader.read(target, head, is_own=True)
        lines = [r for r in caplog.records if r.message == "pace-malformed"]
        assert [line.target for line in lines] == ["t", "t", "u", "u"]
        assert lines[0].value == "few" and len(lines[1].value) <= 80

    def test_the_malformed_values_that_are_remembered_are_bounded(self):
        reader = AnnouncementReader({}, lambda _target: None)
        for number in range(2 * MAX_MALFORMED):
            head = _head(malformed_pace=f"few{number}")
            reader.read(_target(), head, is_own=True)
        assert len(reader._malformed) <= MAX_MALFORMED


class TestConvergence:
    """Instances hear the target's changes and tell each other, in any order."""

    @given(st.data())
    def test_all_end_with_what_the_target_says(self, data):
        known = [_target() for _ in range(3)]
        limit, in_flight, told = None, [], []
        steps = st.sampled_from(["change", "send", "answer", "hear"])
        for step in data.draw(st.lists(steps, max_size=40)):
            if step == "change":
                limit = data.draw(LIMITS)
            elif step == "send":
                number = data.draw(st.integers(0, 2))
                in_flight.append((number, known[number], limit))
            elif step == "answer" and in_flight:
                position = data.draw(st.integers(0, len(in_flight) - 1))
                self._answer(known, told, *in_flight.pop(position))
            elif step == "hear" and told:
                number = data.draw(st.integers(0, 2))
                target = data.draw(st.sampled_from(told))
                known[number] = known[number].merge_announced(target)
        for answer in in_flight:
            self._answer(known, told, *answer)
        for target in told:
            self._hear(known, target)
        assert len({target.rate_limit for target in known}) == 1
        self._answer(known, told, 0, known[0], limit)
        self._hear(known, known[0])
        (agreed,) = {target.rate_limit.per_second for target in known}
        assert agreed == limit or 0 < limit - agreed <= MIN_RAISE * agreed

    def _answer(self, known, told, number, sent_when, limit):
        announced = []
        reader = AnnouncementReader({"t": known[number]}, announced.append)
        reader.read(sent_when, _head(limit), is_own=True)
        for target in announced:
            known[number] = known[number].merge_announced(target)
            told.append(target)

    def _hear(self, known, target):
        known[:] = [k.merge_announced(target) for k in known]


class Recorder:
    """Catalog that records what it publishes and passes on."""

    def __init__(self):
        self.targets, self.announced, self.changes = {}, [], []
        self.catalog = Catalog(
            None, None, None, self._publish, lambda _name: None, self.announced.extend
        )

    def _publish(self, targets, changes):
        self.targets = dict(targets)
        self.changes += changes

    async def handle(self, *messages):
        for message in messages:
            await self.catalog.handle(message)
        return self

    async def put(self, *targets):
        return await self.handle(
            TargetUpdate(tuple(Change(t.id, t, t.revision) for t in targets))
        )

    async def announce(self, *targets):
        return await self.handle(TargetsAnnounced(targets))


class TestCatalog:
    async def test_an_announcement_is_published_and_passed_on_once(self):
        recorder = Recorder()
        await recorder.put(_target())
        limited = _target(1.2, 1)
        await recorder.announce(limited)
        await recorder.announce(limited)
        assert recorder.targets == {"t": limited}
        assert recorder.announced == [limited]

    async def test_entries_of_the_store_do_not_end_it(self):
        recorder = Recorder()
        await recorder.put(_target())
        await recorder.announce(_target(1.2, 1))
        await recorder.put(_target(revision=9))
        assert recorder.targets["t"].rate_limit == RateLimit(1.2, 1)
        assert recorder.changes[-1].item.rate_limit == RateLimit(1.2, 1)

    async def test_nor_does_a_removal_and_return_of_the_entry(self):
        recorder = Recorder()
        await recorder.put(_target())
        await recorder.announce(_target(1.2, 1))
        await recorder.handle(TargetUpdate((Change("t", None, 8),)))
        assert recorder.targets == {}
        await recorder.put(_target(revision=9))
        assert recorder.targets["t"].rate_limit == RateLimit(1.2, 1)

    async def test_it_may_come_before_the_entry(self):
        recorder = Recorder()
        await recorder.announce(_target(1.2, 1))
        assert recorder.targets == {}
        await recorder.put(_target())
        assert recorder.targets["t"].rate_limit == RateLimit(1.2, 1)

    async def test_a_new_start_has_none(self):
        recorder = Recorder()
        await recorder.put(_target(incarnation=1000))
        await recorder.announce(_target(1.2, 1, incarnation=1000))
        await recorder.put(_target(incarnation=2000, revision=9))
        await recorder.announce(_target(0.5, 2, incarnation=1000))
        assert recorder.targets["t@2000"].rate_limit == RateLimit()

    async def test_it_does_not_keep_a_target_whose_entry_is_gone(self):
        recorder = Recorder()
        await recorder.put(_target())
        now = asyncio.get_running_loop().time()
        recorder.catalog._removals_trusted_at = now + 0.05
        await recorder.handle(TargetUpdate((Change("t", None, 8),)))
        assert "t" in recorder.targets
        await recorder.announce(_target(1.2, 1))
        await asyncio.sleep(0.1)
        recorder.catalog._remove_pending()
        assert recorder.targets == {}

    async def test_begin_change_and_end_are_logged(self, caplog):
        caplog.set_level("INFO")
        recorder = Recorder()
        await recorder.put(_target())
        for limit in ((1.2, 1), (8.0, 2), (None, 3)):
            await recorder.announce(_target(*limit))
        lines = [
            (r.message, r.rate_limit, r.rate_limit_before)
            for r in caplog.records
            if r.message in ("target-limited", "target-unlimited")
        ]
        assert lines == [
            ("target-limited", 1.2, None),
            ("target-limited", 8.0, 1.2),
            ("target-unlimited", None, 8.0),
        ]

    @given(st.data())
    def test_any_order_of_messages_gives_the_same(self, data):
        limits = data.draw(st.lists(LIMITS, max_size=4))
        entries = [_target(revision=r) for r in range(1, 4)]
        announced = [_target(limit, n, 1) for n, limit in enumerate(limits, 1)]
        messages = [TargetUpdate((Change("t", e, e.revision),)) for e in entries]
        messages += [TargetsAnnounced((target,)) for target in announced]
        recorder = Recorder()
        repeated = data.draw(st.lists(st.sampled_from(messages), max_size=4))
        asyncio.run(recorder.handle(*data.draw(st.permutations(messages + repeated))))
        expected = announced[-1].rate_limit if announced else RateLimit()
        assert recorder.targets == {"t": replace(entries[-1], rate_limit=expected)}


class TestPeerMessages:
    @pytest.mark.parametrize(
        ("limit", "version"), [(None, 0), (None, 4), (0.0, 1), (1.25, 2)]
    )
    @pytest.mark.parametrize("kind", [TargetsAnnounced, TargetUpdate])
    def test_keep_the_limit(self, limit, version, kind):
        target = _target(limit, version)
        states = [to_target_state(Change("t", target, target.revision))]
        message = TargetStates(states, announced=kind is TargetsAnnounced)
        received = from_target_states(codec.decode(TargetStates, codec.encode(message)))
        assert isinstance(received, kind)
        items = (
            received.targets
            if kind is TargetsAnnounced
            else [change.item for change in received.changes]
        )
        assert list(items) == [target]

    @pytest.mark.parametrize("value", [float("nan"), float("inf"), -3.0])
    def test_a_limit_that_is_no_number_counts_as_none(self, value):
        state = to_target_state(Change("t", _target(1.0, 1), 7))
        state.rate_limit = value
        (change,) = from_target_states(TargetStates([state])).changes
        assert change.item.rate_limit == RateLimit(None, 1)


# The fields of limits, which the version before lacks, with their numbers.
_NEW_FIELDS = {"rate_limit": 11, "rate_limit_version": 12, "announced": 3}


@pytest.fixture
def as_version_before(monkeypatch):
    """Return a context manager in which the codec works as in the version before."""

    def names(cls):
        return tuple(n for n in cls.__dataclass_fields__ if n not in _NEW_FIELDS)

    def clear_caches():
        for cached in (
            codec._struct_class, codec._converters, codec._nested_classes
        ):  # fmt: skip
            cached.cache_clear()

    @contextlib.contextmanager
    def context():
        with monkeypatch.context() as patch:
            for name in ("TargetState", "TargetStates"):
                known = tuple(f for f in codec.STRUCTS[name] if f[2] not in _NEW_FIELDS)
                patch.setitem(codec.STRUCTS, name, known)
            patch.setattr(codec, "_field_names", names)
            clear_caches()
            yield
        clear_caches()

    return context


class TestMixedVersions:
    """The version before does not know the fields of limits."""

    _STATE = TargetState("t", 1, False, "p", "a:1", "z", 2, True, rate_limit=1.0)

    def test_its_messages_are_read_with_defaults(self, as_version_before):
        with as_version_before():
            data = codec.encode(TargetStates([self._STATE], 5))
        received = codec.decode(TargetStates, data)
        assert received == TargetStates([replace(self._STATE, rate_limit=-1.0)], 5)

    def test_it_ignores_the_new_fields(self, as_version_before):
        data = codec.encode(TargetStates([self._STATE], 5, announced=True))
        with as_version_before():
            received = codec.decode(TargetStates, data)
        assert received.revision == 5
        assert received.states == [replace(self._STATE, rate_limit=-1.0)]

    def test_a_field_without_a_default_is_required(self, as_version_before):
        struct = codec._struct_class("TargetStates")()
        with pytest.raises(codec.CodecError):
            codec.decode(TargetStates, codec.serialize(struct, codec._FACTORY))


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append((send.address, send.message))


def _member(name, ready=True):
    return Member(name, f"inc-{name}", "z", "r", name, "o", 0, ready, False)


def _view(*names, **fields):
    return View({name: _member(name) for name in names}, **fields)


class TestStateDistributor:
    def _distributor(self, *targets):
        links = _Links()
        by_name = {target.name: target for target in targets}
        distributor = StateDistributor("inc-own", "own", "z", links, by_name, lambda: 9)
        return distributor, links

    def _limits(self, links):
        return [
            (to, [state.rate_limit for state in message.states])
            for to, message in links.sent
            if isinstance(message, TargetStates) and message.announced
        ]

    async def test_an_announcement_goes_to_all_neighbours(self):
        distributor, links = self._distributor(_target())
        distributor.apply_view(_view("own", "a", "b"))
        distributor.send_announced([_target(1.2, 1)])
        assert self._limits(links) == [("a", [1.2]), ("b", [1.2])]

    async def test_members_that_come_back_get_all(self):
        distributor, links = self._distributor(_target(1.2, 1), _target(id="u"))
        distributor.apply_view(_view("own", "a", "b"))
        links.sent.clear()
        distributor.apply_view(_view("own", "a"))
        assert self._limits(links) == []
        distributor.apply_view(_view("own", "a", "b"))
        assert self._limits(links) == [("b", [1.2])]

    async def test_a_random_neighbour_gets_all_again(self):
        distributor, links = self._distributor(_target(1.2, 1))
        distributor.apply_view(_view("own", "a", "b"))
        links.sent.clear()
        for _ in range(64):
            distributor.resend_announced(only_recent=False)
        assert {to for to, _ in self._limits(links)} == {"a", "b"}
        assert len(links.sent) == 64

    async def test_what_is_recent_is_sent_more_often(self, monkeypatch):
        old, new = _target(1.2, 1), _target(5.0, 1, id="u")
        distributor, links = self._distributor(old, new)
        distributor.apply_view(_view("own", "a"))
        distributor.send_announced([new])
        links.sent.clear()
        distributor.resend_announced(only_recent=True)
        distributor.resend_announced(only_recent=False)
        assert self._limits(links) == [("a", [5.0]), ("a", [1.2, 5.0])]
        links.sent.clear()
        monkeypatch.setattr(state_distributor, "RECENT_S", 0.0)
        distributor.resend_announced(only_recent=True)
        assert not links.sent

    async def test_without_announcements_nothing_is_sent(self):
        distributor, links = self._distributor(_target())
        distributor.apply_view(_view("own", "a"))
        distributor.resend_announced(only_recent=False)
        assert self._limits(links) == []
