"""Tests of hibiscusstep.forwarding.buffer_budget without a network."""

import random

import orjson
import pytest

from hibiscusstep.errors import ConfigurationError
from hibiscusstep.forwarding import buffer_budget as module
from hibiscusstep.forwarding.buffer_budget import (
    NARROW_WINDOW_BYTES,
    WINDOW_BYTES,
    BufferBounds,
    BufferBudget,
    BufferKind,
    HeldConnection,
    resident_bytes,
)
from hibiscusstep.platform.settings import load_platform_settings

BOUNDS = BufferBounds(1000, 1600, 2000)


class _Connection(HeldConnection):
    """Records the decisions."""

    def __init__(self, name, log):
        self.name, self._log = name, log
        self.windows = []

    def set_window(self, size):
        self.windows.append(size)

    def cut_off(self, account, reason):
        self._log.append((self.name, account.held, reason))


class _Region:
    """A budget with a clock that the test sets."""

    def __init__(self, bounds=BOUNDS):
        self.time = 0.0
        self.budget = BufferBudget(bounds, lambda: self.time)
        self.cut = []

    def open(self, name, *, repeatable=True, **held):
        account = self.budget.open(_Connection(name, self.cut))
        account.repeatable = repeatable
        for kind, count in held.items():
            account.add(BufferKind[kind], count)
        return account

    @property
    def names_cut(self):
        return [name for name, _held, _reason in self.cut]


class TestCounting:
    """Bytes that are counted twice or never released would refuse requests for ever."""

    def test_kinds_are_reported_apart(self):
        region = _Region()
        region.open("a", REQUEST=10, RESPONSE=20)
        region.open("b", TO_CALLER=1, TO_TARGET=2, FROM_TARGET=4)
        assert region.budget.held == 37
        assert region.budget.held_by_kind == {
            "request": 10,
            "response": 20,
            "transport": 7,
        }

    def test_the_end_of_an_exchange_releases_its_bytes(self):
        region = _Region()
        account = region.open("a", REQUEST=10, TO_CALLER=5)
        account.close()
        account.add(BufferKind.RESPONSE, 99)
        account.close()
        assert region.budget.held == 0
        assert account.held == 0

    def test_a_size_replaces_the_one_before(self):
        region = _Region()
        account = region.open("a", TO_CALLER=5)
        account.set(BufferKind.TO_CALLER, 3)
        assert (account.held, account[BufferKind.TO_CALLER]) == (3, 3)
        assert region.budget.held == 3
        assert region.budget.highest == 5


class TestBounds:
    def test_without_a_limit_nothing_binds(self):
        """An instance without a limit must serve callers as before."""
        region = _Region(BufferBounds.of_memory(0, 10**12))
        region.open("a", RESPONSE=10**12)
        assert region.budget.admits(10**12)
        assert not region.budget.is_narrow and not region.cut

    def test_a_few_hundred_ordinary_streams_of_a_small_instance(self):
        """400 streams of 8 KB and as large requests must not even narrow windows."""
        region = _Region(BufferBounds.of_memory(150, 60_000_000))
        for number in range(400):
            region.open(f"s{number}", REQUEST=8_000, TO_CALLER=8_000)
        assert not region.budget.is_narrow
        assert region.budget.admits(4 << 20)

    def test_each_bound_is_reached_before_the_next(self):
        bounds = BufferBounds.of_memory(150, 60_000_000)
        assert 0 < bounds.soft < bounds.admit < bounds.hard < 90_000_000

    @pytest.mark.parametrize("resident", [149_000_000, 400_000_000])
    def test_a_limit_below_the_use_still_lets_a_request_through(self, resident):
        region = _Region(BufferBounds.of_memory(150, resident))
        assert region.budget.admits(4 << 20)


class TestSoftBound:
    """Windows that stay wide would let slow readers fill the memory."""

    def test_below_it_no_exchange_is_visited(self):
        region = _Region()
        account = region.open("a", TO_CALLER=1000)
        assert account.connection.windows == []
        assert region.budget.window == WINDOW_BYTES

    def test_above_it_all_windows_narrow_once(self):
        region = _Region()
        first, second = region.open("a", TO_CALLER=500), region.open("b")
        second.add(BufferKind.RESPONSE, 501)
        second.add(BufferKind.RESPONSE, 1)
        late = region.open("c")
        for account in (first, second, late):
            assert account.connection.windows == [NARROW_WINDOW_BYTES]
        assert not region.cut

    def test_windows_widen_well_below_it(self):
        region = _Region()
        account = region.open("a", TO_CALLER=1001)
        account.add(BufferKind.TO_CALLER, -150)
        assert region.budget.is_narrow
        account.add(BufferKind.TO_CALLER, -100)
        assert account.connection.windows == [NARROW_WINDOW_BYTES, WINDOW_BYTES]

    def test_the_connection_of_an_ended_exchange_gets_its_window_back(self):
        """Its next request may come when memory is free again."""
        region = _Region()
        account = region.open("a", TO_CALLER=900)
        region.open("b", TO_CALLER=900)
        account.close()
        assert account.connection.windows[-1] == WINDOW_BYTES


class TestAdmission:
    def test_a_request_that_would_exceed_the_bound_is_refused(self):
        region = _Region()
        region.open("a", REQUEST=1500)
        assert region.budget.admits(100)
        assert not region.budget.admits(101)
        assert not region.cut


class TestChoiceOfTheExchangeToCutOff:
    """A request that may not be repeated is lost for its caller when it is cut off."""

    def test_one_that_may_be_repeated_goes_first(self):
        region = _Region()
        region.open("once", repeatable=False, RESPONSE=1900)
        region.open("safe", TO_CALLER=101)
        assert region.cut == [("safe", 101, "memory")]

    def test_then_the_one_that_holds_the_most(self):
        region = _Region(BufferBounds(0, 0, 4 * WINDOW_BYTES))
        region.open("small", TO_CALLER=WINDOW_BYTES)
        region.open("large", TO_CALLER=3 * WINDOW_BYTES)
        region.open("new", TO_CALLER=1)
        assert region.names_cut == ["large"]

    def test_then_the_one_without_progress_for_longest(self):
        """Callers that do not read hold about a window each."""
        region = _Region()
        stalled = region.open("stalled", TO_CALLER=900)
        reading = region.open("reading", TO_CALLER=1000)
        stalled.record_progress()
        region.time = 1.0
        reading.record_progress()
        region.open("new", TO_CALLER=101)
        assert region.names_cut == ["stalled"]

    def test_no_more_than_needed(self):
        region = _Region(BufferBounds(0, 0, 4 * WINDOW_BYTES))
        region.open("a", TO_CALLER=3 * WINDOW_BYTES)
        region.open("b", TO_CALLER=2 * WINDOW_BYTES)
        assert region.names_cut == ["a"]
        assert region.budget.held == 2 * WINDOW_BYTES

    def test_one_that_may_not_be_repeated_if_there_is_no_other(self):
        """Otherwise the process is killed, with all of its requests."""
        region = _Region()
        region.open("idle")
        region.open("once", repeatable=False, RESPONSE=2001)
        assert region.names_cut == ["once"]
        assert region.budget.held == 0

    @pytest.mark.parametrize("seed", range(20))
    def test_in_any_order_of_events(self, seed):
        rng = random.Random(seed)
        region = _Region()
        accounts = {}
        for step in range(500):
            region.time = step
            name = f"x{step}"
            if rng.random() < 0.3 or not accounts:
                accounts[name] = region.open(name, repeatable=rng.random() < 0.5)
            name = rng.choice(list(accounts))
            account, kind = accounts[name], rng.choice(list(BufferKind))
            before = {n: (a.held, a.repeatable) for n, a in accounts.items()}
            count = rng.randrange(-account[kind], 700)
            account.add(kind, count)
            before[name] = (before[name][0] + count, account.repeatable)
            for cut, held, _reason in region.cut:
                rest = [n for n in before if n not in region.names_cut]
                assert accounts[cut].repeatable or not any(
                    before[n][0] and before[n][1] for n in rest
                )
                assert held > 0
                del accounts[cut]
            region.cut.clear()
            if accounts and rng.random() < 0.1:
                accounts.pop(rng.choice(list(accounts))).close()
            assert region.budget.held == sum(a.held for a in accounts.values())
            assert 0 <= region.budget.held <= BOUNDS.hard


class TestResidentSize:
    def test_is_measured(self):
        assert resident_bytes() > 1 << 20

    @pytest.mark.parametrize("text", [None, "", "1", "a b"])
    def test_a_constant_replaces_it_if_it_cannot_be_read(
        self, text, tmp_path, monkeypatch
    ):
        path = tmp_path / "statm"
        if text is not None:
            path.write_text(text)
        monkeypatch.setattr(module, "_STATM", path)
        assert resident_bytes() == module.DEFAULT_RESIDENT_BYTES


class TestSetting:
    """A limit that is misread would bind at the wrong size, or never."""

    def _load(self, tmp_path, monkeypatch, limits):
        monkeypatch.setenv("HIBISCUSSTEP_PEER_KEY", "a-key-for-tests-only")
        path = tmp_path / "n.json"
        document = {
            "NodeName": "n",
            "Zone": "z",
            "Ip": "127.0.0.1",
            "InternalPorts": [1, 1],
            "Listen": {"Front": "127.0.0.1:2", "Ready": "127.0.0.1:3"},
            "Bounds": {},
            "Platform": {"Address": "127.0.0.1:4"},
            **limits,
        }
        path.write_bytes(orjson.dumps(document))
        return load_platform_settings(path).instance.memory_mb

    @pytest.mark.parametrize(
        ("limits", "limit"),
        [
            ({}, 0),
            ({"Limits": None}, 0),
            ({"Limits": {"Cores": 2}}, 0),
            ({"Limits": {"MemoryMb": 0}}, 0),
            ({"Limits": {"MemoryMb": None}}, 0),
            ({"Limits": {"MemoryMb": 152}}, 152),
            ({"Limits": {"MemoryMb": 152.5}}, 152.5),
        ],
    )
    def test_is_read(self, tmp_path, monkeypatch, limits, limit):
        assert self._load(tmp_path, monkeypatch, limits) == limit

    @pytest.mark.parametrize("limit", [-1, "inf", "nan", "much", [152]])
    def test_a_malformed_one_is_refused(self, tmp_path, monkeypatch, limit):
        with pytest.raises(ConfigurationError):
            self._load(tmp_path, monkeypatch, {"Limits": {"MemoryMb": limit}})


class TestIncompleteRequests:
    """Bodies that are cut must not keep room from whole requests."""

    @staticmethod
    def _receive(region, name, held, at):
        region.time = at
        account = region.open(name, REQUEST=held)
        account.refuse_request = lambda: region.cut.append((name, account.held, ""))
        return account

    def test_the_one_without_progress_goes_first(self):
        region = _Region()
        for number, name in enumerate("abc"):
            self._receive(region, name, 500, float(number))
        assert region.budget.make_room(100, 9.0)
        assert not region.cut
        assert region.budget.make_room(600, 9.0)
        assert region.names_cut == ["a"]
        assert region.budget.held == 1000

    def test_progress_of_smaller_ones_is_spared(self):
        region = _Region()
        self._receive(region, "small", 100, 5.0)
        self._receive(region, "large", 1500, 6.0)
        assert not region.budget.make_room(1550, 1.0)
        assert not region.cut
        assert region.budget.make_room(200, 1.0)
        assert region.names_cut == ["large"]

    def test_whole_requests_stay(self):
        region = _Region()
        region.open("whole", REQUEST=1600)
        assert not region.budget.make_room(1, 9.0)
        assert not region.cut
