"""Tests of hibiscusstep.routing.policy_dispatcher: tiers, fairness, no starvation.

Also that no short request waits while a target is idle.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.configuration.models import load_configuration
from hibiscusstep.policies import POLICIES
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.policy_dispatcher import PolicyDispatcher

RANKS = {"high": 0, "mid": 1, "low": 2}
CUSTOMER_WEIGHTS = {"big": 1.0, "small": 1.0, "heavy": 4.0}


def make_configuration(targets=2, max_running=2, policy="expected-work", **pool):
    data = {
        "tiers": {name: {"rank": rank} for name, rank in RANKS.items()},
        "customers": {
            name: {"key_hashes": [f"{n:064x}"], "tier": "high", "weight": weight}
            for n, (name, weight) in enumerate(CUSTOMER_WEIGHTS.items())
        },
        "pools": {
            "p": {
                "kind": "engine",
                "policy": policy,
                "targets": {
                    f"t{n}": {
                        "address": f"127.0.0.1:{n + 1}",
                        "data_centre": "hall",
                        "max_running": max_running,
                        "prefill_rate": 1000,
                        "decode_rate": 10,
                    }
                    for n in range(targets)
                },
                **pool,
            }
        },
        "shedding": {"low": {"may_be_stopped": True}},
    }
    return load_configuration({"a.json": json.dumps(data)})[0]


def make(recovered=True, **options):
    dispatcher = PolicyDispatcher("p", make_configuration(**options))
    if recovered:
        dispatcher.handle(m.Recovered(), 0.0)
    return dispatcher


def work(ask, tier="high", now=0.0, deadline=10.0, **fields):
    return m.Work(
        ask=str(ask),
        request=f"r{ask}",
        instance=fields.pop("instance", "e0"),
        customer=fields.pop("customer", "small"),
        tier=tier,
        rank=RANKS[tier],
        prompt_tokens=fields.pop("prompt_tokens", 10),
        output_tokens=fields.pop("output_tokens", 10),
        deadline=now + deadline,
        received_at=now,
        stoppable=fields.pop("stoppable", tier == "low"),
        **fields,
    )


def granted(decisions):
    return [d.work.ask for d in decisions if isinstance(d, m.Grant)]


def refused(decisions):
    return [d.work.ask for d in decisions if isinstance(d, m.Refuse)]


def stopped(decisions):
    return [d.work.ask for d in decisions if isinstance(d, m.Stop)]


def fill(dispatcher, count, now=0.0, tier="high", prefix="f", **fields):
    """Occupy `count` slots; return the ids of the grants."""
    names = [f"{prefix}{n}" for n in range(count)]
    for name in names:
        assert granted(
            dispatcher.handle(m.RequestGrant(work(name, tier, now, **fields)), now)
        )
    return names


class TestRecovery:
    def test_decides_nothing_before_recovery(self):
        dispatcher = make(recovered=False)
        assert dispatcher.handle(m.RequestGrant(work(1, deadline=0.1)), 0.0) == []
        assert dispatcher.handle(m.TimePassed(), 5.0) == []

    def test_adopted_request_occupies_a_slot(self):
        dispatcher = make(recovered=False, targets=1, max_running=1)
        dispatcher.handle(m.AdoptRunning(work("a"), "t0"), 0.0)
        dispatcher.handle(m.RequestGrant(work("b")), 0.0)
        assert granted(dispatcher.handle(m.Recovered(), 0.0)) == []
        done = m.Finished("a", m.GrantOutcome.DONE)
        assert granted(dispatcher.handle(done, 1.0)) == ["b"]

    def test_requests_of_a_dead_instance_are_dropped(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1, instance="dead")
        dispatcher.handle(m.RequestGrant(work("waits", instance="dead")), 0.0)
        dispatcher.handle(m.RequestGrant(work("next")), 0.0)
        assert granted(dispatcher.handle(m.InstanceGone("dead"), 1.0)) == ["next"]


class TestTierOrder:
    def test_higher_tier_is_granted_first(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1)
        for tier in ("low", "mid", "high"):
            dispatcher.handle(m.RequestGrant(work(tier, tier)), 0.0)
        order = []
        running = "f0"
        while running:
            decisions = dispatcher.handle(m.Finished(running, m.GrantOutcome.DONE), 1.0)
            running = next(iter(granted(decisions)), None)
            order.append(running)
        assert order == ["high", "mid", "low", None]

    def test_waiting_lower_tier_is_refused_first(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1, output_tokens=1000)
        dispatcher.handle(m.RequestGrant(work("mid", "mid", deadline=110)), 0.0)
        decisions = dispatcher.handle(m.RequestGrant(work("high", deadline=1)), 0.0)
        assert refused(decisions) == ["mid", "high"]

    def test_running_lower_tier_is_stopped_before_a_refusal(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1, tier="low", output_tokens=1000)
        assert dispatcher.handle(m.RequestGrant(work("high", deadline=2)), 0.0) == []
        decisions = dispatcher.handle(m.TimePassed(), 1.8)
        assert stopped(decisions) == ["f0"] and refused(decisions) == []
        assert refused(dispatcher.handle(m.TimePassed(), 2.5)) == []
        cancelled = m.Finished("f0", m.GrantOutcome.CANCELLED)
        assert granted(dispatcher.handle(cancelled, 2.6)) == ["high"]

    def test_tier_that_may_not_be_stopped_keeps_running(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1, tier="mid", output_tokens=1000)
        decisions = dispatcher.handle(m.RequestGrant(work("high", deadline=2)), 0.0)
        assert stopped(decisions) == [] and refused(decisions) == ["high"]

    def test_tier_that_may_not_be_shed_waits(self):
        data = make_configuration(targets=1, max_running=1).model_dump()
        data["shedding"]["high"] = {"may_be_shed": False}
        data["shedding"]["mid"] = {"may_be_shed": True}
        configuration = load_configuration({"a.json": json.dumps(data)})[0]
        dispatcher = PolicyDispatcher("p", configuration)
        dispatcher.handle(m.Recovered(), 0.0)
        fill(dispatcher, 1, output_tokens=1000)
        dispatcher.handle(m.RequestGrant(work("waits", deadline=1)), 0.0)
        assert refused(dispatcher.handle(m.TimePassed(), 50.0)) == []


class TestRefusals:
    def test_request_that_cannot_start_in_time_is_refused_on_arrival(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1, output_tokens=1000)
        decisions = dispatcher.handle(m.RequestGrant(work("late", deadline=2)), 0.0)
        assert refused(decisions) == ["late"]
        assert 90 < decisions[0].retry_after < 110

    def test_deadline_impossible_on_idle_targets(self):
        decisions = make().handle(
            m.RequestGrant(work("x", prompt_tokens=9000, deadline=2)), 0.0
        )
        assert decisions[0].reason is m.RefusalReason.IMPOSSIBLE

    def test_request_that_waited_elsewhere_is_late_not_impossible(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1, now=5.0)
        decisions = dispatcher.handle(
            m.RequestGrant(work("x", now=0.0, deadline=5)), 5.1
        )
        assert decisions[0].reason in (m.RefusalReason.LOAD, m.RefusalReason.DEADLINE)

    def test_nothing_is_refused_with_free_capacity(self):
        dispatcher = make()
        assert granted(
            dispatcher.handle(m.RequestGrant(work("x", deadline=0.2)), 0.0)
        ) == ["x"]

    def test_max_waiting_of_a_customer(self):
        data = make_configuration(targets=1, max_running=1).model_dump()
        data["customers"]["small"]["max_waiting"] = 1
        configuration = load_configuration({"a.json": json.dumps(data)})[0]
        dispatcher = PolicyDispatcher("p", configuration)
        dispatcher.handle(m.Recovered(), 0.0)
        fill(dispatcher, 1)
        dispatcher.handle(m.RequestGrant(work("one")), 0.0)
        decisions = dispatcher.handle(m.RequestGrant(work("two")), 0.0)
        assert decisions[0].reason is m.RefusalReason.CUSTOMER_LIMIT


class TestConfigurationChange:
    def test_removed_tier_is_refused_at_once(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1)
        dispatcher.handle(m.RequestGrant(work("waits", "mid")), 0.0)
        data = make_configuration(targets=1, max_running=1).model_dump()
        del data["tiers"]["mid"]
        changed = load_configuration({"a.json": json.dumps(data)})[0]
        (refusal,) = dispatcher.handle(m.Configure(changed), 1.0)
        assert refusal.work.ask == "waits"
        assert refusal.reason is m.RefusalReason.UNAVAILABLE

    def test_unknown_tier_is_refused_at_once(self):
        data = make_configuration().model_dump()
        del data["tiers"]["mid"]
        older = load_configuration({"a.json": json.dumps(data)})[0]
        dispatcher = PolicyDispatcher("p", older)
        dispatcher.handle(m.Recovered(), 0.0)
        (refusal,) = dispatcher.handle(m.RequestGrant(work("x", "mid")), 0.0)
        assert (
            refusal.reason is m.RefusalReason.UNAVAILABLE and refusal.retry_after == 1.0
        )

    def test_policy_change_keeps_waiting_requests(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1)
        dispatcher.handle(m.RequestGrant(work("waits")), 0.0)
        changed = make_configuration(targets=1, max_running=1, policy="fcfs")
        dispatcher.handle(m.Configure(changed), 1.0)
        done = m.Finished("f0", m.GrantOutcome.DONE)
        assert granted(dispatcher.handle(done, 2.0)) == ["waits"]


class TestTargets:
    def test_failed_target_gets_one_request_after_its_backoff(self):
        dispatcher = make(targets=2, max_running=2)
        decisions = dispatcher.handle(m.RequestGrant(work("a")), 0.0)
        failed_target = decisions[0].target
        dispatcher.handle(m.Finished("a", m.GrantOutcome.UNREACHABLE), 0.0)
        for n in range(2):
            decisions = dispatcher.handle(m.RequestGrant(work(n)), 0.1)
            assert decisions[0].target != failed_target
        assert dispatcher.handle(m.RequestGrant(work("b")), 0.2) == []
        assert granted(dispatcher.handle(m.TimePassed(), 1.2)) == ["b"]
        assert dispatcher.handle(m.RequestGrant(work("c")), 1.3) == []

    @pytest.mark.parametrize("mark", ["drained", "leaving", "reachable"])
    def test_unusable_target_gets_no_requests(self, mark):
        dispatcher = make(targets=1)
        if mark == "drained":
            data = make_configuration(targets=1).model_dump()
            data["pools"]["p"]["targets"]["t0"]["drained"] = True
            changed = load_configuration({"a.json": json.dumps(data)})[0]
            dispatcher.handle(m.Configure(changed), 0.0)
        else:
            report = m.LoadReport("t0", 0, 0, mark == "leaving", mark != "reachable")
            dispatcher.handle(report, 0.0)
        decisions = dispatcher.handle(m.RequestGrant(work("x")), 0.0)
        if mark != "reachable":
            assert decisions[0].reason is m.RefusalReason.NO_TARGET
        else:
            assert decisions == []

    def test_target_that_failed_a_request_is_avoided(self):
        dispatcher = make(targets=2, max_running=1)
        busy_target = dispatcher.handle(m.RequestGrant(work("busy")), 0.0)[0].target
        other = next(name for name in dispatcher.targets if name != busy_target)
        assert (
            dispatcher.handle(m.RequestGrant(work("again", avoid=(other,))), 0.0) == []
        )
        (grant,) = dispatcher.handle(m.Finished("busy", m.GrantOutcome.DONE), 1.0)
        assert (grant.work.ask, grant.target) == ("again", busy_target)

    def test_target_that_answers_leaving_gets_nothing_until_its_next_report(self):
        dispatcher = make(targets=1)
        dispatcher.handle(m.RequestGrant(work("a")), 0.0)
        dispatcher.handle(m.Finished("a", m.GrantOutcome.LEAVING), 0.0)
        (refusal,) = dispatcher.handle(m.RequestGrant(work("b")), 0.1)
        assert refusal.reason is m.RefusalReason.NO_TARGET
        dispatcher.handle(m.LoadReport("t0", 0, 0, False), 1.0)
        assert granted(dispatcher.handle(m.RequestGrant(work("c")), 1.0)) == ["c"]

    def test_faster_target_is_preferred(self):
        dispatcher = make(targets=2, max_running=50)
        dispatcher.targets["t1"].decode_rate = 40.0
        dispatcher.targets["t1"].prefill_rate = 4000.0
        first = dispatcher.handle(m.RequestGrant(work("x")), 0.0)[0]
        assert first.target == "t1"

    def test_cached_prefix_is_preferred(self):
        dispatcher = make(targets=4, max_running=50)
        request_fields = {"prompt_tokens": 1100, "prefixes": (1, 2), "deadline": 100.0}
        first = dispatcher.handle(m.RequestGrant(work("x", **request_fields)), 0.0)[0]
        dispatcher.handle(m.FirstToken("x", 1.1), 1.1)
        dispatcher.handle(m.Finished("x", m.GrantOutcome.DONE, 10, 1.0), 2.0)
        again = dispatcher.handle(
            m.RequestGrant(work("y", now=3.0, **request_fields)), 3.0
        )[0]
        assert again.target == first.target


class TestFairness:
    def run_all(self, asks, **options):
        """Serve one request at a time; return the customers in order of service."""
        dispatcher = make(targets=1, max_running=1, **options)
        fill(dispatcher, 1, prefix="first")
        for ask in asks:
            dispatcher.handle(m.RequestGrant(ask), 0.0)
        order, running, now = [], "first0", 0.0
        while running:
            now += 0.001
            decisions = dispatcher.handle(m.Finished(running, m.GrantOutcome.DONE), now)
            grants = [d for d in decisions if isinstance(d, m.Grant)]
            order += [d.work.customer for d in grants]
            running = grants[0].work.ask if grants else None
        return order

    def test_burst_does_not_delay_another_customer(self):
        asks = [work(n, customer="big", deadline=500) for n in range(40)]
        asks += [work(f"s{n}", customer="small", deadline=500) for n in range(4)]
        order = self.run_all(asks)
        assert order[:10].count("small") == 4

    def test_urgent_burst_does_not_overtake_another_customer(self):
        dispatcher = make(targets=1, max_running=1)
        fill(dispatcher, 1, customer="heavy")
        for number in range(8):
            burst = work(number, customer="big", deadline=6.0, output_tokens=1)
            dispatcher.handle(m.RequestGrant(burst), 0.0)
        running, now = "f0", 5.75
        for number in range(3):
            small_request = work(
                f"s{number}", customer="small", now=now, output_tokens=1
            )
            dispatcher.handle(m.RequestGrant(small_request), now)
        order = []
        for _ in range(5):
            decisions = dispatcher.handle(m.Finished(running, m.GrantOutcome.DONE), now)
            (running,) = granted(decisions)
            order.append(running)
            now += 0.01
        assert [name[0] for name in order].count("s") >= 2

    def test_customer_at_max_running_does_not_block_another(self):
        data = make_configuration(targets=1, max_running=4).model_dump()
        data["customers"]["big"]["max_running"] = 1
        configuration = load_configuration({"a.json": json.dumps(data)})[0]
        dispatcher = PolicyDispatcher("p", configuration)
        dispatcher.handle(m.Recovered(), 0.0)
        for ask in ("b1", "b2", "b3"):
            dispatcher.handle(
                m.RequestGrant(work(ask, customer="big", output_tokens=1)), 0.0
            )
        decisions = dispatcher.handle(m.RequestGrant(work("s", customer="small")), 0.0)
        assert granted(decisions) == ["s"]

    def test_request_that_waits_for_its_cache_does_not_block_another(self):
        dispatcher = make(targets=2, max_running=1)
        request_fields = {"prompt_tokens": 1100, "prefixes": (1, 2), "deadline": 100.0}
        (first,) = dispatcher.handle(
            m.RequestGrant(work("x", customer="big", **request_fields)), 0.0
        )
        dispatcher.handle(m.FirstToken("x", 1.1), 1.1)
        same = work("same", customer="big", now=1.2, **request_fields)
        assert dispatcher.handle(m.RequestGrant(same), 1.2) == []
        other = {**request_fields, "prefixes": (3, 4)}
        decisions = dispatcher.handle(
            m.RequestGrant(work("other", customer="small", now=1.3, **other)), 1.3
        )
        assert granted(decisions) == ["other"]
        assert decisions[0].target != first.target

    def test_customers_share_by_weight(self):
        asks = [
            work(f"{customer}{n}", customer=customer, deadline=500)
            for n in range(40)
            for customer in ("heavy", "small")
        ]
        order = self.run_all(asks)
        assert 14 <= order[:20].count("heavy") <= 18

    def test_short_requests_do_not_starve_a_long_one(self):
        asks = [work("long", prompt_tokens=900, deadline=500)]
        asks += [work(n, deadline=500) for n in range(30)]
        assert len(self.run_all(asks)) == 31


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "done", "broken", "tick", "leave"]),
        st.sampled_from(list(RANKS)),
        st.sampled_from(list(CUSTOMER_WEIGHTS)),
        st.sampled_from([10, 10, 300, 3000]),
        st.floats(0.3, 20),
        st.floats(0, 3),
    ),
    max_size=60,
)


class TestInvariants:
    @pytest.mark.parametrize("policy", POLICIES.primary_names)
    @given(STEPS)
    def test_any_message_sequence(self, policy, steps):
        dispatcher = make(policy=policy)
        model = DispatcherModel(dispatcher)
        for number, step in enumerate(steps):
            model.take(number, *step)
            model.check(policy)


class DispatcherModel:
    """Sends messages to a dispatcher and records the waiting and running requests."""

    def __init__(self, dispatcher):
        self.dispatcher, self.now = dispatcher, 0.0
        self.waiting, self.running = {}, {}
        self.tiered = dispatcher._policy.tiered
        self.bounded = dispatcher._policy.bounded

    def take(self, number, kind, tier, customer, tokens, deadline, elapsed):
        self.now += elapsed
        message = m.TimePassed()
        if kind == "ask":
            item = work(
                number,
                tier,
                self.now,
                deadline,
                customer=customer,
                prompt_tokens=tokens,
            )
            self.waiting[item.ask] = item
            message = m.RequestGrant(item)
        elif kind in ("done", "broken", "leave") and self.running:
            ask = sorted(self.running)[number % len(self.running)]
            del self.running[ask]
            outcome = {
                "done": m.GrantOutcome.DONE,
                "broken": m.GrantOutcome.BROKEN,
                "leave": m.GrantOutcome.CANCELLED,
            }[kind]
            message = m.Finished(ask, outcome, 10, 1.0)
        for decided in self.dispatcher.handle(message, self.now):
            self.apply(decided)

    def apply(self, decided):
        if isinstance(decided, m.Grant):
            self.running[decided.work.ask] = self.waiting.pop(decided.work.ask)
        elif isinstance(decided, m.Refuse):
            del self.waiting[decided.work.ask]
            self.check_refusal(decided)
        else:
            assert decided.work.stoppable and decided.work.ask in self.running

    def check_refusal(self, refusal):
        """Assert that no lower tier waits or could be stopped at a refusal for load."""
        assert refusal.retry_after > 0
        if not self.tiered or refusal.reason not in (
            m.RefusalReason.LOAD,
            m.RefusalReason.DEADLINE,
        ):
            return
        rank = refusal.work.rank
        assert not [w for w in self.waiting.values() if w.rank > rank]
        assert not [w for w in self.running.values() if w.rank > rank and w.stoppable]

    def check(self, policy):
        targets = self.dispatcher.targets.values()
        assert sum(len(t.running) for t in targets) == len(self.running)
        assert sum(self.dispatcher.waiting.values()) == len(self.waiting)
        if self.bounded:
            assert all(t.free >= 0 for t in targets)
        usable = [t for t in targets if t.usable(self.now)]
        idle = [t for t in usable if not t.running]
        short = [w for w in self.waiting.values() if w.prompt_tokens == 10]
        assert not (idle and short), "a short request waits while a target is idle"
        late = [w for w in self.waiting.values() if w.deadline + 0.001 < self.now]
        stopping = any(r.stopping for t in targets for r in t.running.values())
        assert not late or stopping, "an overdue request was not refused"
