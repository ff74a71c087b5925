"""Tests of the bound on the memory of engines.

Covers hibiscusstep.routing.target_memory with the dispatcher, the index of targets and
the path of a refusal to the caller. An engine that holds requests beyond its memory
crashes.
"""

import asyncio
import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_standin import TargetStandIn, configuration
from test_forwarding import BOUND_S, Site

from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.dispatcher_host import DispatcherHost
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import PoolAsk, PoolGrant, PoolRefuse, Received, WorkInfo
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.rollout.controller import PlannedRollout
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.release_estimate import estimated_end, memory_fits_at
from hibiscusstep.routing.slot_dispatcher import MAX_EXAMINED, SlotDispatcher
from hibiscusstep.routing.slot_target import CROWDED_SHARE, Run, SlotTarget
from hibiscusstep.routing.switches import ALL_ENABLED, Switches
from hibiscusstep.routing.target_index import TargetIndex
from hibiscusstep.routing.target_memory import (
    MAX_COUNTED,
    MAX_OVERTAKING,
    MemoryBound,
    MemoryNeed,
)

BOUND = 1000
POOL = "p"


def _plan(targets=2, slots=4, memory=BOUND, current=frozenset(), rollout=None, **more):
    planned = {f"t{n}": PlannedTarget(slots) for n in range(targets)}
    pool = PlannedPool(
        True, targets=planned | more, memory_tokens=memory,
        current_versions=current, rollout=rollout,
    )  # fmt: skip
    return DispatchPlan({POOL: pool})


def _dispatcher(plan=None, standby="", switches=ALL_ENABLED):
    dispatcher = SlotDispatcher(
        POOL, plan or _plan(), standby_instance=standby, switches=switches
    )
    dispatcher.handle(m.Recovered(), 0.0)
    return dispatcher


def _work(ask, memory, rank=0, received=0.0, instance="i", **fields):
    return m.Work(
        ask, ask, instance, "c", str(rank), rank, 5, 10, 1e6, received,
        memory_tokens=memory, **fields,
    )  # fmt: skip


def _ask(dispatcher, ask, memory, now=1.0, **fields):
    """Return the target that a new request is granted at once, or None."""
    work = _work(ask, memory, received=now, **fields)
    grants = _grants(dispatcher.handle(m.RequestGrant(work), now))
    return grants.get(ask)


def _finish(dispatcher, ask, now=2.0, outcome=m.GrantOutcome.DONE):
    """Return the grants that follow from the end of a request."""
    return _grants(dispatcher.handle(m.Finished(ask, outcome, 10, 0.1), now))


def _grants(decisions):
    return {d.work.ask: d.target for d in decisions if isinstance(d, m.Grant)}


def _refusals(decisions):
    return {d.work.ask: d.reason for d in decisions if isinstance(d, m.Refuse)}


class TestTokensInUse:
    """Tokens that are not counted, or not freed, crash an engine or leave it idle."""

    def test_running_requests_count(self):
        dispatcher = _dispatcher(_plan(1))
        assert _ask(dispatcher, "a", 600) == "t0"
        assert _ask(dispatcher, "b", 401) is None
        assert _ask(dispatcher, "c", 400) == "t0"

    def test_the_end_of_a_request_frees_its_memory(self):
        dispatcher = _dispatcher(_plan(1))
        _ask(dispatcher, "a", 600)
        _ask(dispatcher, "b", 600)
        assert _finish(dispatcher, "a") == {"b": "t0"}

    def test_a_withdrawn_grant_frees_its_memory(self):
        dispatcher = _dispatcher(_plan(1))
        _ask(dispatcher, "a", 600)
        _ask(dispatcher, "b", 600)
        assert _grants(dispatcher.handle(m.Withdraw("a"), 2.0)) == {"b": "t0"}

    def test_adopted_requests_count(self):
        """A new dispatcher must not grant the memory that is in use already."""
        dispatcher = SlotDispatcher(POOL, _plan(1))
        dispatcher.handle(m.AdoptRunning(_work("a", 600), "t0"), 0.0)
        dispatcher.handle(m.Recovered(), 0.1)
        assert _ask(dispatcher, "b", 600) is None
        assert _finish(dispatcher, "a") == {"b": "t0"}

    def test_a_request_adopted_twice_counts_once(self):
        dispatcher = _dispatcher(_plan(1))
        for now in (0.1, 0.2):
            dispatcher.handle(m.AdoptRunning(_work("a", 300), "t0"), now)
        assert dispatcher.targets["t0"].memory_used == 300
        _finish(dispatcher, "a")
        assert dispatcher.targets["t0"].memory_used == 0

    def test_a_request_added_twice_counts_once(self):
        """An instance may report a request that was considered lost meanwhile."""
        target = SlotTarget("t", 4)
        for now in (0.1, 0.2):
            target.add("a", Run(_work("a", 300), now, 1.0, 0.0))
        assert target.memory_used == 300

    def test_a_response_that_is_read_slowly_counts_until_its_end(self):
        """The engine holds the memory of a stream that its caller reads slowly."""
        dispatcher = _dispatcher(_plan(1))
        _ask(dispatcher, "slow", 600)
        dispatcher.handle(m.FirstToken("slow", 0.1), 1.1)
        _ask(dispatcher, "b", 600)
        now = 1.1
        for _ in range(1000):
            now += 0.05
            decisions = dispatcher.handle(m.TimePassed(), now)
            if any(isinstance(d, m.QueryGrants) for d in decisions):
                held = m.HeldGrants("i", frozenset({"slow"}))
                decisions += dispatcher.handle(held, now)
            assert not _grants(decisions)
        assert _finish(dispatcher, "slow", now) == {"b": "t0"}

    def test_a_lost_end_frees_memory_and_slot_together(self):
        """Memory that is never freed would keep a target idle."""
        dispatcher = _dispatcher(_plan(1, slots=1))
        _ask(dispatcher, "lost", 600)
        granted, now = {}, 1.0
        for _ in range(1000):
            now += 0.05
            granted |= _grants(dispatcher.handle(m.TimePassed(), now))
        assert dispatcher.counts.lost == 1
        assert dispatcher.targets["t0"].memory_used == 0
        assert _ask(dispatcher, "b", BOUND, now) == "t0"

    def test_a_crashed_target_starts_empty_under_a_new_name(self):
        dispatcher = _dispatcher(_plan(1))
        _ask(dispatcher, "a", BOUND)
        replaced = _plan(0, new=PlannedTarget(4))
        dispatcher.handle(m.Configure(replaced), 2.0)
        assert _ask(dispatcher, "b", BOUND, 2.0) == "new"

    def test_a_request_that_takes_nothing_fits_a_full_target(self):
        dispatcher = _dispatcher(_plan(1))
        _ask(dispatcher, "a", BOUND)
        assert _ask(dispatcher, "b", 0) == "t0"


class TestPoolsWithoutBound:
    """Where nothing is known of the memory, decisions must be as without the bound."""

    @pytest.mark.parametrize(
        ("plan", "switches"),
        [
            (_plan(memory=0), ALL_ENABLED),
            (_plan(), Switches.disabling("memory_bound")),
        ],
    )
    def test_all_slots_are_granted(self, plan, switches):
        dispatcher = _dispatcher(plan, switches=switches)
        granted = [_ask(dispatcher, f"a{n}", 5 * BOUND) for n in range(9)]
        assert sorted(t for t in granted if t) == ["t0"] * 4 + ["t1"] * 4
        assert dispatcher.memory_share is None

    @settings(max_examples=50, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=60))
    def test_a_bound_that_is_far_away_changes_no_decision(self, steps):
        """Pools whose requests are short must be served as before."""
        seen = []
        for memory in (0, 100 * BOUND):
            dispatcher = _dispatcher(_plan(5, 2, memory))
            running, decisions = [], []
            for n, (rank, ends) in enumerate(steps):
                now = 0.1 * n
                if ends and running:
                    message = m.Finished(running.pop(0), m.GrantOutcome.DONE, 9, 0.5)
                else:
                    message = m.RequestGrant(
                        _work(f"a{n}", 300, rank, now, first_token_due=now + 0.5)
                    )
                found = dispatcher.handle(message, now)
                running += _grants(found)
                decisions.append(found)
            seen.append(decisions)
        assert seen[0] == seen[1]


class TestImpossibleRequests:
    """A request that fits no target must not wait: no slot ever suits it."""

    def test_is_refused_at_once(self):
        dispatcher = _dispatcher()
        work = _work("a", BOUND + 1)
        decisions = dispatcher.handle(m.RequestGrant(work), 1.0)
        assert _refusals(decisions) == {"a": m.RefusalReason.IMPOSSIBLE}
        assert dispatcher.waiting == {}
        assert (dispatcher.counts.asked, dispatcher.counts.refused) == (1, 1)

    def test_is_refused_before_all_instances_have_registered(self):
        """Its refusal depends on no other request, so its caller need not wait."""
        dispatcher = SlotDispatcher(POOL, _plan())
        decisions = dispatcher.handle(m.RequestGrant(_work("a", BOUND + 1)), 0.0)
        assert _refusals(decisions) == {"a": m.RefusalReason.IMPOSSIBLE}

    def test_one_that_fills_the_memory_is_granted(self):
        assert _ask(_dispatcher(), "a", BOUND) is not None

    def test_its_retry_is_refused_in_the_same_way(self):
        dispatcher = _dispatcher()
        for ask in ("a", "b"):
            work = _work(ask, BOUND + 1, identity=7)
            decisions = dispatcher.handle(m.RequestGrant(work), 1.0)
            assert _refusals(decisions) == {ask: m.RefusalReason.IMPOSSIBLE}

    def test_queued_requests_are_refused_when_the_bound_shrinks(self):
        dispatcher = _dispatcher(_plan(1))
        _ask(dispatcher, "a", 900)
        _ask(dispatcher, "b", 900)
        decisions = dispatcher.handle(m.Configure(_plan(1, memory=500)), 2.0)
        assert _refusals(decisions) == {"b": m.RefusalReason.IMPOSSIBLE}

    async def test_the_caller_gets_503_as_for_a_request_that_did_not_run(
        self, tmp_path, monkeypatch, caplog
    ):
        """Another status would tell the caller that the request may have run."""
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        site = Site(tmp_path, monkeypatch)
        document = configuration()
        document["Services"][0]["Engine"]["KvCapacity"] = BOUND
        try:
            await site.start(TargetStandIn("t1"), document=document)
            host = site.instances[0]._dispatcher_host
            async with asyncio.timeout(BOUND_S):
                while "pool-a" not in host.memory_shares:
                    await asyncio.sleep(0.01)
            fits = await site.call("/once/", **{"X-Token-Usage": f"{BOUND - 10},10"})
            status, fields, _body = await site.call(
                "/once/", **{"X-Token-Usage": f"{BOUND},10"}
            )
            metrics = site.instances[0]._metrics
            site.instances[0]._refresh_gauges()
        finally:
            await site.stop()
        assert fits[0] == 200
        assert status == 503
        assert float(fields["Retry-After"]) > 0
        assert len(site.targets[0].requests) == 1
        (line,) = [r for r in caplog.records if r.message == "given-up"]
        assert (line.why, line.attempts) == (m.RefusalReason.IMPOSSIBLE, 0)
        text = metrics.render()[0].decode()
        assert 'memory_highest_share{pool="pool-a"} 0' in text
        assert 'memory_waits_total{pool="pool-a"} 0' in text


class TestOtherTargets:
    """A request must find a target where it fits among all, also far down the order."""

    @pytest.mark.parametrize("used", [200, 280])
    def test_beyond_the_targets_that_cost_least(self, used):
        """Only the cheapest targets are evaluated; none of them may have room."""
        dispatcher = _dispatcher(_plan(40, slots=4))
        for name in dispatcher.targets:
            if name not in ("t36", "t37"):
                work = _work(f"big-{name}", 900)
                dispatcher.handle(m.AdoptRunning(work, name), 0.0)
        target = dispatcher.targets["t37"]
        target.observe(9.0)
        dispatcher.handle(m.AdoptRunning(_work("small", used), "t37"), 0.0)
        # Others use all slots of this one.
        dispatcher.handle(m.LoadReport("t36", 4, 0, False), 1.0)
        assert _ask(dispatcher, "a", 700) == "t37"

    def test_requests_that_fit_are_not_blocked_by_those_that_do_not(self):
        """Large requests at the head of the queue must not leave slots unused."""
        dispatcher = _dispatcher(_plan(1, slots=2))
        _ask(dispatcher, "running", 600)
        _ask(dispatcher, "running2", 100)
        for n in range(MAX_EXAMINED + 2):
            _ask(dispatcher, f"large{n}", 500)
        _ask(dispatcher, "small", 100, rank=1)
        assert _finish(dispatcher, "running2") == {"small": "t0"}

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["add", "add", "add", "end", "back off", "foreign"]),
                st.integers(0, 19),
                st.integers(1, BOUND),
            ),
            max_size=80,
        ),
        st.integers(1, BOUND),
    )
    def test_the_index_finds_one_whenever_a_scan_does(self, steps, tokens):
        index, now = TargetIndex(), 0.0
        targets = [SlotTarget(f"t{n}", 3, memory_tokens=BOUND) for n in range(20)]
        for target in targets:
            index.add(target, now)
        for number, (step, which, size) in enumerate(steps):
            now += 0.01
            target = targets[which]
            match step:
                case "add" if target.unassigned_slots > 0:
                    work = _work(f"{number}", size)
                    target.add(f"{number}", Run(work, now, 0.1, 0.0))
                case "end" if target.running:
                    target.remove(next(iter(target.running)))
                case "back off" if which < 5:
                    target.record_unreachable(now)
                case "foreign":
                    target.external_requests, target.external_reported_at = 3, now
            index.update(target, now)
        need = MemoryNeed(BOUND - tokens)
        found = index.fitting(index.candidates("", now), need, now)
        expected = [
            t
            for t in targets
            if t.usable(now) and t.available_slots(now) > 0 and need.fits(t)
        ]
        assert set(found) <= set(expected)
        assert bool(found) == bool(expected)
        assert len(found) == len(set(found))

    def test_the_order_by_memory_does_not_change_far_from_the_bound(self):
        """An update of the order for each request would cost time for nothing."""
        target = SlotTarget("t", 9, memory_tokens=BOUND)
        size = int(CROWDED_SHARE * BOUND)
        target.add("a", Run(_work("a", size), 0.0, 0.1, 0.0))
        assert target.crowded_memory == 0
        target.add("b", Run(_work("b", 1), 0.0, 0.1, 0.0))
        assert target.crowded_memory == size + 1


def _overtake(dispatcher, count, now=1.0, size=100, rank=0, name="s"):
    """Let small requests be granted and end, one after the other; return targets."""
    targets = []
    for n in range(count):
        ask = f"{name}{now}-{n}"
        targets.append(_ask(dispatcher, ask, size, now, rank=rank))
        if targets[-1]:
            _finish(dispatcher, ask, now)
    return targets


def _large_waits(targets=1, slots=4, rank=0):
    """Return a dispatcher in which a large request waits and has been overtaken.

    A request of 300 tokens runs at each target; one more small request reserves one.
    """
    dispatcher = _dispatcher(_plan(targets, slots))
    for n in range(targets):
        work = _work(f"run{n}", 300)
        dispatcher.handle(m.AdoptRunning(work, f"t{n}"), 0.0)
    assert _ask(dispatcher, "large", 800, rank=rank) is None
    overtaking = _overtake(dispatcher, MAX_OVERTAKING, rank=rank)
    assert all(overtaking)
    dispatcher.handle(m.TimePassed(), 1.1)
    assert dispatcher._memory.reserved_targets
    return dispatcher


class TestLargeRequests:
    """A large request must not wait for ever while smaller ones go on being granted."""

    def test_is_granted_after_a_bounded_number_of_smaller_ones(self):
        """Without a reservation, the small ones would always leave too little."""
        dispatcher = _dispatcher(_plan(1, slots=8))
        for n in range(4):
            assert _ask(dispatcher, f"s{n}", 150) == "t0"
        assert _ask(dispatcher, "large", 900) is None
        granted, steps = {}, 0
        while "large" not in granted and steps < 400:
            steps += 1
            now = 1.0 + 0.01 * steps
            _ask(dispatcher, f"next{steps}", 150, now)
            oldest = next(iter(dispatcher.targets["t0"].running))
            granted = _finish(dispatcher, oldest, now)
        # Those that run when the target is reserved have to end, too.
        assert steps <= MAX_OVERTAKING + 8

    def test_smaller_ones_get_nothing_at_the_reserved_target(self):
        dispatcher = _large_waits()
        assert _ask(dispatcher, "small", 100, 1.2) is None

    def test_the_other_targets_serve_smaller_ones_meanwhile(self):
        dispatcher = _large_waits(targets=3)
        (reserved,) = dispatcher._memory.reserved_targets
        granted = [_ask(dispatcher, f"n{n}", 100, 1.2) for n in range(8)]
        others = {"t0", "t1", "t2"} - {reserved}
        assert {t for t in granted if t} == others
        assert granted.count(None) == 2

    def test_is_granted_as_soon_as_it_fits_and_the_reservation_ends(self):
        dispatcher = _large_waits()
        _ask(dispatcher, "small", 100, 1.2)
        granted = _finish(dispatcher, "run0")
        assert granted == {"large": "t0", "small": "t0"}
        assert not dispatcher._memory.reserved_targets
        assert not dispatcher._memory.has_waiting

    def test_withdrawing_it_ends_the_reservation(self):
        dispatcher = _large_waits()
        assert _ask(dispatcher, "small", 100, 1.2) is None
        decisions = dispatcher.handle(m.Withdraw("large"), 1.3)
        assert _grants(decisions) == {"small": "t0"}
        assert not dispatcher._memory.has_waiting

    def test_refusing_it_ends_the_reservation(self):
        dispatcher = _dispatcher(_plan(1))
        dispatcher.handle(m.AdoptRunning(_work("run", 300), "t0"), 0.0)
        late = m.Work(
            "large", "large", "i", "c", "0", 0, 5, 10, 2.0, 1.0, memory_tokens=800
        )
        dispatcher.handle(m.RequestGrant(late), 1.0)
        _overtake(dispatcher, MAX_OVERTAKING)
        dispatcher.handle(m.TimePassed(), 1.1)
        assert dispatcher._memory.reserved_targets == {"t0"}
        assert _ask(dispatcher, "small", 100, 1.2) is None
        decisions = dispatcher.handle(m.TimePassed(), 2.1)
        assert "large" in _refusals(decisions)
        assert _grants(dispatcher.handle(m.TimePassed(), 2.2)) == {"small": "t0"}
        assert not dispatcher._memory.has_waiting

    def test_the_end_of_its_instance_ends_the_reservation(self):
        dispatcher = _dispatcher(_plan(1))
        dispatcher.handle(m.AdoptRunning(_work("run", 300), "t0"), 0.0)
        _ask(dispatcher, "large", 800, instance="gone")
        _overtake(dispatcher, MAX_OVERTAKING)
        dispatcher.handle(m.TimePassed(), 1.1)
        assert _ask(dispatcher, "small", 100, 1.2) is None
        decisions = dispatcher.handle(m.InstanceGone("gone"), 1.3)
        assert _grants(decisions) == {"small": "t0"}

    @pytest.mark.parametrize("leaving", [True, False])
    def test_another_target_is_reserved_when_the_first_one_leaves(self, leaving):
        """A reservation of a target that is gone would keep the request for ever."""
        dispatcher = _large_waits(targets=2)
        (first,) = dispatcher._memory.reserved_targets
        other = "t1" if first == "t0" else "t0"
        planned = {first: PlannedTarget(4, leaving=True)} if leaving else {}
        pool = PlannedPool(
            True, targets={other: PlannedTarget(4), **planned}, memory_tokens=BOUND
        )
        dispatcher.handle(m.Configure(DispatchPlan({POOL: pool})), 1.2)
        dispatcher.handle(m.TimePassed(), 1.3)
        assert dispatcher._memory.reserved_targets == {other}
        assert _finish(dispatcher, f"run{other[1]}") == {"large": other}

    def test_a_target_that_backs_off_is_not_kept(self):
        dispatcher = _large_waits(targets=3)
        (first,) = dispatcher._memory.reserved_targets
        ask = f"run{first[1]}"
        dispatcher.handle(m.Finished(ask, m.GrantOutcome.UNREACHABLE), 1.2)
        dispatcher.handle(m.TimePassed(), 1.25)
        (second,) = dispatcher._memory.reserved_targets
        assert second != first

    def test_higher_ranks_are_not_held_up_and_do_not_count_as_overtaking(self):
        """A large request of a low rank must not take a target from higher ones."""
        dispatcher = _dispatcher(_plan(1))
        dispatcher.handle(m.AdoptRunning(_work("run", 300), "t0"), 0.0)
        _ask(dispatcher, "large", 800, rank=1)
        assert all(_overtake(dispatcher, 3 * MAX_OVERTAKING))
        dispatcher.handle(m.TimePassed(), 1.1)
        assert not dispatcher._memory.reserved_targets
        _overtake(dispatcher, MAX_OVERTAKING, 1.2, rank=2)
        dispatcher.handle(m.TimePassed(), 1.3)
        assert dispatcher._memory.reserved_targets == {"t0"}
        assert _ask(dispatcher, "same", 100, 1.4, rank=1) is None
        assert _ask(dispatcher, "higher", 100, 1.4, rank=0) == "t0"

    def test_at_most_a_part_of_the_targets_is_reserved(self):
        """Many large requests must not withhold all targets from the small ones."""
        dispatcher = _dispatcher(_plan(17))
        for n in range(17):
            work = _work(f"run{n}", 300)
            dispatcher.handle(m.AdoptRunning(work, f"t{n}"), 0.0)
        for n in range(5):
            _ask(dispatcher, f"large{n}", 800)
        _overtake(dispatcher, 2 * MAX_OVERTAKING)
        dispatcher.handle(m.TimePassed(), 1.1)
        assert len(dispatcher._memory.reserved_targets) == 2
        assert _ask(dispatcher, "small", 100, 1.2) is not None

    def test_the_target_that_fits_first_is_reserved(self):
        """A slow target, or one full of long answers, would delay the request."""
        dispatcher = _dispatcher(_plan(3))
        for n, slowness in enumerate((6.0, 1.0, 6.0)):
            for _ in range(20):
                dispatcher.targets[f"t{n}"].observe(slowness)
            work = _work(f"run{n}", 300)
            dispatcher.handle(m.AdoptRunning(work, f"t{n}"), 0.9)
        _ask(dispatcher, "large", 800)
        _overtake(dispatcher, MAX_OVERTAKING)
        dispatcher.handle(m.TimePassed(), 1.0)
        assert dispatcher._memory.reserved_targets == {"t1"}

    def test_the_number_of_counted_requests_is_bounded(self):
        """The cost of a grant must not grow with the number of large requests."""
        memory = MemoryBound(BOUND)
        counted = [memory.record_wait(_work(f"{n}", 9)) for n in range(MAX_COUNTED + 5)]
        assert counted.count(True) == MAX_COUNTED
        memory.forget("0")
        assert memory.record_wait(_work("again", 9))


class TestEstimatedRelease:
    """An estimate without regard to the order of the ends reserves the wrong target."""

    def _target(self):
        target = SlotTarget("t", 4, slowness=2.0, memory_tokens=BOUND)
        for ask, granted, seconds, tokens in (
            ("a", 0.0, 1.0, 300),
            ("b", 0.0, 0.25, 400),
            ("c", 1.0, 1.5, 200),
        ):
            target.add(ask, Run(_work(ask, tokens), granted, seconds, 0.0))
        return target

    def test_ends_follow_from_the_targets_slowness(self):
        target = self._target()
        ends = [estimated_end(target, run, 0.0) for run in target.running.values()]
        assert ends == [2.0, 0.5, 4.0]

    def test_a_request_past_its_estimate_ends_at_once(self):
        target = self._target()
        assert estimated_end(target, target.running["b"], 3.0) == 3.0

    @pytest.mark.parametrize(
        ("max_used", "expected"),
        [(900, 0.0), (500, 0.5), (200, 2.0), (199, 4.0), (-50, 4.0)],
    )
    def test_memory_is_free_after_the_ends_that_it_takes(self, max_used, expected):
        assert memory_fits_at(self._target(), max_used, 0.0) == expected

    def test_an_empty_target_has_room_now(self):
        assert memory_fits_at(SlotTarget("t", 4), -50, 3.0) == 3.0


class TestDispatchersThatShareTheMemory:
    """Dispatchers that do not know each other's grants fill a target twice."""

    def _standby(self, share):
        dispatcher = _dispatcher(_plan(1, slots=8), standby="i")
        dispatcher.capacity_share = share
        return dispatcher

    def test_a_standby_dispatcher_grants_its_share(self):
        dispatcher = self._standby(0.5)
        assert _ask(dispatcher, "a", 300) == "t0"
        assert _ask(dispatcher, "b", 201) is None
        assert _ask(dispatcher, "c", 200) == "t0"

    def test_an_empty_target_gets_one_request_beyond_the_share(self):
        """Otherwise requests above the share would all be refused."""
        dispatcher = self._standby(0.5)
        assert _ask(dispatcher, "a", BOUND) == "t0"
        assert _ask(dispatcher, "b", 1) is None
        assert _finish(dispatcher, "a") == {"b": "t0"}

    def test_a_standby_dispatcher_refuses_what_fits_no_target(self):
        work = _work("a", BOUND + 1)
        decisions = self._standby(0.5).handle(m.RequestGrant(work), 1.0)
        assert _refusals(decisions) == {"a": m.RefusalReason.IMPOSSIBLE}

    def test_a_standby_dispatcher_reserves_a_target_of_its_own(self):
        dispatcher = self._standby(0.5)
        _ask(dispatcher, "run", 300)
        assert _ask(dispatcher, "large", 450) is None
        _overtake(dispatcher, MAX_OVERTAKING)
        dispatcher.handle(m.TimePassed(), 1.1)
        assert _ask(dispatcher, "small", 100, 1.2) is None
        assert "large" in _finish(dispatcher, "run")

    def test_the_dispatcher_of_a_part_of_the_network_grants_its_share(self):
        """The dispatcher beyond a partition may grant the rest."""
        dispatcher = _dispatcher(_plan(1, slots=8))
        dispatcher.set_limit_share(0.5, 0.0)
        assert _ask(dispatcher, "whole", BOUND) == "t0"
        _finish(dispatcher, "whole", 1.0)
        assert _ask(dispatcher, "a", 300) == "t0"
        assert _ask(dispatcher, "b", 201) is None
        dispatcher.set_limit_share(1.0, 2.0)
        assert _grants(dispatcher.handle(m.TimePassed(), 2.0)) == {"b": "t0"}


class TestEveryPathToATarget:
    """Each way to choose a target that forgets the bound crashes an engine."""

    def _canary_plan(self, deadline, **memory):
        rollout = PlannedRollout("v2", 1, deadline, limits=ExposureLimits(0.9, 1000.0))
        targets = {
            "old": PlannedTarget(8, version="v1"),
            "new": PlannedTarget(8, version="v2"),
        }
        return _plan(0, current=frozenset({"v1"}), rollout=rollout, **targets)

    def test_canary_targets(self):
        dispatcher = _dispatcher(self._canary_plan(100.0))
        dispatcher.handle(m.TimePassed(), 0.5)
        granted = [_ask(dispatcher, f"a{n}", 300, 0.6) for n in range(8)]
        assert granted.count("new") <= 3
        assert granted.count("old") <= 3

    def test_canary_targets_that_receive_all_traffic(self):
        dispatcher = _dispatcher(self._canary_plan(100.0))
        dispatcher.rollout._full_traffic = True
        granted = [_ask(dispatcher, f"a{n}", 300, 0.6) for n in range(8)]
        assert granted.count("new") == 3
        assert granted.count("old") == 3

    def test_canary_targets_get_requests_up_to_the_bound(self):
        dispatcher = _dispatcher(self._canary_plan(100.0))
        dispatcher.handle(m.TimePassed(), 0.5)
        granted = [_ask(dispatcher, f"a{n}", 300, 0.6 + 0.2 * n) for n in range(40)]
        assert granted.count("new") == 3

    def test_a_canary_target_with_room_where_the_others_have_none(self):
        dispatcher = _dispatcher(self._canary_plan(100.0))
        dispatcher.handle(m.AdoptRunning(_work("run", 900), "old"), 0.0)
        dispatcher.handle(m.TimePassed(), 0.5)
        assert _ask(dispatcher, "a", 300) == "new"

    def test_suspects(self):
        dispatcher = _dispatcher(_plan(2))
        dispatcher.handle(m.AdoptRunning(_work("run", 600), "t1"), 0.0)
        assert _ask(dispatcher, "a", 900, suspect=1) == "t0"
        assert _ask(dispatcher, "b", 500, suspect=2) is None

    def test_panic_mode(self):
        """With most targets in backoff, all of them are used."""
        dispatcher = _dispatcher(_plan(3))
        for n in range(3):
            _ask(dispatcher, f"fail{n}", 600)
        for n in range(2):
            outcome = m.GrantOutcome.UNREACHABLE
            dispatcher.handle(m.Finished(f"fail{n}", outcome), 1.1)
        granted = [_ask(dispatcher, f"a{n}", 500, 1.2) for n in range(8)]
        assert sum(target is not None for target in granted) == 4

    def test_underserved_ranks(self):
        dispatcher = _dispatcher(_plan(1, slots=2))
        for n in range(30):
            ask = f"high{n}"
            _ask(dispatcher, ask, 900, 0.01 * n)
            _finish(dispatcher, ask, 0.01 * n)
        _ask(dispatcher, "run", 900, 0.4)
        for n in range(30):
            _ask(dispatcher, f"low{n}", 200, 0.4, rank=1)
        assert 1 in dispatcher._rank_floor.underserved(0.5)
        assert not _grants(dispatcher.handle(m.TimePassed(), 0.5))
        assert "low0" in _finish(dispatcher, "run", 0.6)

    def test_retries(self):
        """A retry avoids the target that failed it, and must fit the other."""
        dispatcher = _dispatcher(_plan(2))
        first = _ask(dispatcher, "a", 900)
        other = "t1" if first == "t0" else "t0"
        dispatcher.handle(m.AdoptRunning(_work("run", 600), other), 1.0)
        _finish(dispatcher, "a", 1.1, m.GrantOutcome.FAILED)
        assert _ask(dispatcher, "b", 900, 1.2, avoid=(first,)) == first


class _Pool:
    """A pool with dispatchers that replace each other, and what its targets hold."""

    def __init__(self, slots=4):
        rollout = PlannedRollout("v2", 1, 9.0, limits=ExposureLimits(0.5, 20.0))
        versions = ["v1", "v1", "v1", "v2"]
        targets = {
            f"t{n}": PlannedTarget(slots, version=version)
            for n, version in enumerate(versions)
        }
        self.plan = _plan(0, current=frozenset({"v1"}), rollout=rollout, **targets)
        self.dispatcher = _dispatcher(self.plan)
        self.held = {}

    def used(self, target):
        return sum(
            work.memory_tokens for work, at in self.held.values() if at == target
        )

    def handle(self, message, now):
        for decision in self.dispatcher.handle(message, now):
            if isinstance(decision, m.Grant):
                work, target = decision.work, decision.target
                self.held[work.ask] = work, target
                assert self.used(target) <= BOUND
            elif isinstance(decision, m.GrantLost):
                self.held.pop(decision.work.ask, None)

    def replace_dispatcher(self, now):
        self.dispatcher = SlotDispatcher(POOL, self.plan)
        for work, target in self.held.values():
            self.handle(m.AdoptRunning(work, target), now)
        self.handle(m.Recovered(), now)


_STEP = st.sampled_from(
    ["ask"] * 8 + ["end"] * 4 + ["fail", "unreachable", "reject", "withdraw", "tick",
     "tick", "held", "gone", "replace", "report", "share"]
)  # fmt: skip


class TestBoundHolds:
    """No sequence of messages may grant a target more than its memory."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                _STEP,
                st.integers(0, 7),
                st.sampled_from([0, 50, 200, 400, 700, 1000, 1200]),
            ),
            max_size=120,
        )
    )
    def test_for_random_messages(self, steps):
        pool = _Pool()
        for number, (step, which, size) in enumerate(steps):
            now = 0.08 * number
            held = list(pool.held)
            ask = held[which % len(held)] if held else "none"
            match step:
                case "ask":
                    work = _work(
                        f"a{number}", size, which % 3, now, f"i{which % 2}",
                        suspect=which % 4 if which > 5 else 0,
                        avoid=(f"t{which % 4}",) if which == 3 else (),
                        avoided_by_backoff=("t1",) if which == 4 else (),
                        first_token_due=now + 0.6 if which % 2 else 0.0,
                        identity=which + 1,
                    )  # fmt: skip
                    pool.handle(m.RequestGrant(work), now)
                case "end" | "fail" | "unreachable" | "reject":
                    outcome = {
                        "end": m.GrantOutcome.DONE,
                        "fail": m.GrantOutcome.FAILED,
                        "unreachable": m.GrantOutcome.UNREACHABLE,
                        "reject": m.GrantOutcome.REJECTED,
                    }[step]
                    pool.held.pop(ask, None)
                    pool.handle(m.Finished(ask, outcome, 8, 0.1), now)
                case "withdraw":
                    pool.held.pop(ask, None)
                    pool.handle(m.Withdraw(ask), now)
                case "tick":
                    pool.handle(m.TimePassed(), now)
                case "held":
                    asks = {a for a, (w, _t) in pool.held.items() if w.instance == "i0"}
                    pool.handle(m.HeldGrants("i0", frozenset(asks)), now)
                case "gone":
                    pool.held = {
                        a: (w, t) for a, (w, t) in pool.held.items()
                        if w.instance != "i1"
                    }  # fmt: skip
                    pool.handle(m.InstanceGone("i1"), now)
                case "replace":
                    pool.replace_dispatcher(now)
                case "report":
                    report = m.LoadReport(f"t{which % 4}", which, 0, False)
                    pool.handle(report, now)
                case "share":
                    pool.dispatcher.set_limit_share(0.5 + 0.5 * (which % 2), now)
            for name, target in pool.dispatcher.targets.items():
                assert target.memory_used == pool.used(name)


def _info(ask, memory):
    return WorkInfo(
        ask, ask, "d", "c", "0", 0, 5, 10, 5.0, 0.0, False, [], [],
        memory_tokens=memory,
    )  # fmt: skip


class TestLogsAndMetrics:
    """Without them an operator cannot tell memory from slots as the cause of a wait."""

    @pytest.fixture
    async def host(self):
        delivered = []
        host = DispatcherHost(
            "d", "d:1", None, delivered.append, None,
            dispatcher_class=SlotDispatcher, polls_load=False,
        )  # fmt: skip
        member = Member("d", "d-1", "dc", "r", "d:1", "d:2", 1, True, False)
        await host.handle(ViewChanged(View({"d": member})))
        await host.handle(ConfigurationInForce(1, b"", _plan(1)))
        host._hosted[POOL].dispatcher.handle(m.Recovered(), 0.0)
        return host, delivered

    async def _ask(self, host, ask, memory):
        await host.handle(Received("d:1", PoolAsk(POOL, _info(ask, memory))))

    async def test_grants_beyond_half_of_the_memory_are_logged_with_it(
        self, host, caplog
    ):
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        for ask, memory in (("a", 500), ("b", 100)):
            await self._ask(host[0], ask, memory)
        first, second = [r for r in caplog.records if r.message == "grant"]
        assert not hasattr(first, "memory_tokens")
        assert second.memory_tokens == 600

    async def test_the_highest_share_and_the_waits_are_exported(self, host):
        for ask, memory in (("a", 600), ("b", 700), ("c", 700)):
            await self._ask(host[0], ask, memory)
        assert host[0].memory_shares == {POOL: 0.6}
        assert host[0].memory_waits == {POOL: 2}

    async def test_the_reason_of_a_refusal_reaches_the_peer(self, host):
        """An unknown reason in the message would end the request with an error."""
        await self._ask(host[0], "a", BOUND + 1)
        await asyncio.sleep(0)
        (refusal,) = [r.message for r in host[1]]
        assert isinstance(refusal, PoolRefuse) and not isinstance(refusal, PoolGrant)
        assert m.RefusalReason(refusal.reason) is m.RefusalReason.IMPOSSIBLE
        assert refusal.retry_after > 0
