"""Tests of hibiscusstep.routing.slot_dispatcher: dispatcher for targets with slots."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.rollout.controller import PlannedRollout
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import CONFIRMATION_WAIT_S, SlotDispatcher
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.switches import ALL_ENABLED, Switches


def _dispatcher(slots=(2, 2), recovered=True, switches=ALL_ENABLED, **leaving):
    targets = {
        f"t{n}": PlannedTarget(count, leaving.get(f"t{n}", False))
        for n, count in enumerate(slots)
    }
    plan = DispatchPlan({"p": PlannedPool(True, targets=targets)})
    dispatcher = SlotDispatcher("p", plan, switches=switches)
    if recovered:
        dispatcher.handle(m.Recovered(), 0.0)
    return dispatcher


def _work(
    ask, rank=0, deadline=100.0, received=0.0, instance="i", avoid=(), tokens=100
):
    return m.Work(
        ask, ask, instance, "c", str(rank), rank, 500, tokens, deadline, received,
        avoid=avoid,
    )  # fmt: skip


def _grants(decisions):
    return {d.work.ask: d.target for d in decisions if isinstance(d, m.Grant)}


class TestGranting:
    def test_grants_no_more_requests_than_slots(self):
        dispatcher = _dispatcher((2, 1))
        granted = {}
        for n in range(6):
            granted |= _grants(dispatcher.handle(m.RequestGrant(_work(f"a{n}")), 1.0))
        assert len(granted) == 3
        assert sorted(granted.values()) == ["t0", "t0", "t1"]
        assert dispatcher.waiting == {"0": 3}

    def test_grants_no_more_than_its_share_of_all_slots(self):
        dispatcher = _dispatcher((4, 4))
        dispatcher.capacity_share = 0.25
        for n in range(3):
            dispatcher.handle(m.RequestGrant(_work(f"a{n}")), 0.0)
        assert dispatcher.waiting == {"0": 1}
        done = m.Finished("a0", m.GrantOutcome.DONE, 10)
        assert _grants(dispatcher.handle(done, 1.0)).keys() == {"a2"}

    def test_serves_by_rank_then_by_arrival(self):
        dispatcher = _dispatcher((1,))
        dispatcher.handle(m.RequestGrant(_work("busy")), 0.0)
        dispatcher.handle(m.RequestGrant(_work("low", rank=2, received=0.1)), 0.1)
        dispatcher.handle(m.RequestGrant(_work("high-late", rank=1, received=0.3)), 0.3)
        dispatcher.handle(
            m.RequestGrant(_work("high-early", rank=1, received=0.2)), 0.3
        )
        order = []
        running = "busy"
        for at in (1.0, 2.0, 3.0):
            done = m.Finished(running, m.GrantOutcome.DONE, 10)
            (running,) = _grants(dispatcher.handle(done, at))
            order.append(running)
        assert order == ["high-early", "high-late", "low"]

    def test_late_requests_are_last_within_a_rank(self):
        """In a burst, late retries of refused requests must not delay new requests."""
        dispatcher = _dispatcher((1,))
        dispatcher.handle(m.RequestGrant(_work("busy")), 0.0)
        for ask, rank, due in (("back", 1, 0.05), ("fresh", 1, 0.6), ("lower", 2, 5.0)):
            work = m.Work(
                ask,
                ask,
                "i",
                "c",
                str(rank),
                rank,
                500,
                100,
                9.0,
                0.1,
                first_token_due=due,
            )
            dispatcher.handle(m.RequestGrant(work), 0.1)
        order = []
        running = "busy"
        for at in (0.2, 0.3, 0.4):
            done = m.Finished(running, m.GrantOutcome.DONE, 10)
            (running,) = _grants(dispatcher.handle(done, at))
            order.append(running)
        assert order == ["fresh", "back", "lower"]

    def test_a_leaving_target_gets_nothing(self):
        dispatcher = _dispatcher((2, 2), t0=True)
        assert _grants(dispatcher.handle(m.RequestGrant(_work("a")), 0.0)) == {
            "a": "t1"
        }

    def test_a_target_that_failed_the_request_is_avoided(self):
        dispatcher = _dispatcher((2, 2))
        work = _work("a", avoid=("t0",))
        assert _grants(dispatcher.handle(m.RequestGrant(work), 0.0)) == {"a": "t1"}

    def test_decides_nothing_before_recovery(self):
        dispatcher = _dispatcher(recovered=False)
        assert dispatcher.handle(m.RequestGrant(_work("a", deadline=0.1)), 5.0) == []
        assert _grants(dispatcher.handle(m.Recovered(), 0.05)) == {"a": "t0"}

    def test_slowness_of_a_target_is_learned(self):
        dispatcher = _dispatcher((4, 4))
        for n in range(12):
            grants = _grants(dispatcher.handle(m.RequestGrant(_work(f"a{n}")), n))
            seconds = 3.0 if grants[f"a{n}"] == "t0" else 0.3
            done = m.Finished(f"a{n}", m.GrantOutcome.DONE, 100, seconds)
            dispatcher.handle(done, n + seconds)
        assert dispatcher.targets["t0"].slowness > dispatcher.targets["t1"].slowness

    def test_prefers_the_local_one_of_equal_targets(self):
        targets = {
            "far": PlannedTarget(2, False, "a"),
            "near": PlannedTarget(2, False, "b"),
        }
        dispatcher = SlotDispatcher(
            "p", DispatchPlan({"p": PlannedPool(True, targets=targets)})
        )
        dispatcher.handle(m.Recovered(), 0.0)
        work = m.Work("a", "a", "i", "c", "0", 0, 500, 100, 9.0, 0.0, data_centre="b")
        assert _grants(dispatcher.handle(m.RequestGrant(work), 0.0)) == {"a": "near"}
        other = m.Work("b", "b", "i", "c", "0", 0, 500, 100, 9.0, 0.0, data_centre="b")
        assert _grants(dispatcher.handle(m.RequestGrant(other), 0.0)) == {"b": "far"}, (
            "idle"
        )

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 2)), max_size=40))
    def test_target_cost_follows_the_running_requests(self, steps):
        target = SlotTarget("t", 8)
        for now, (number, step) in enumerate(steps):
            ask = f"a{number}"
            if step == 0:
                target.add(ask, Run(_work(ask), now, 1.0 + number, 0.5 + number))
            elif step == 1:
                target.remove(ask)
            else:
                target.mark_first_token(ask)
            at = now + 0.1
            runs = target.running.values()
            left = [
                max(0.0, r.prefill_seconds - (at - r.granted))
                for r in runs
                if not r.has_first_token
            ]
            assert target.remaining_prefill(at) == sum(left)
            assert target.cost(0.0) == pytest.approx(
                0.3 * sum(r.service_seconds for r in runs)
            )


class TestLostCapacity:
    def test_slot_not_held_by_its_instance_is_freed(self):
        dispatcher = _dispatcher((1,))
        dispatcher.handle(m.RequestGrant(_work("lost")), 0.0)
        dispatcher.handle(m.RequestGrant(_work("next", received=0.1)), 0.1)
        held = m.HeldGrants("i", frozenset())
        assert dispatcher.handle(held, 0.2) == []
        assert _grants(dispatcher.handle(held, 2.0)) == {"next": "t0"}

    def test_slots_of_overdue_requests_that_hang_are_freed(self):
        """Guards against slots held by requests on the lost paths of an instance."""
        dispatcher = _dispatcher((1,))
        dispatcher.handle(m.RequestGrant(_work("hangs")), 0.0)
        dispatcher.handle(m.RequestGrant(_work("next", received=0.1)), 0.1)
        held = m.HeldGrants("i", frozenset(["hangs"]), frozenset(["hangs"]))
        # It is not overdue yet, so its target may still be at work on it.
        assert dispatcher.handle(held, 0.2) == []
        now, asked = 0.2, False
        while not asked:
            now += 0.05
            asked = m.QueryGrants("i") in dispatcher.handle(m.TimePassed(), now)
        assert _grants(dispatcher.handle(held, now)) == {"next": "t0"}
        # Its instance still holds it, which must not take the slot again.
        dispatcher.handle(held, now + 0.1)
        dispatcher.handle(m.Finished("next", m.GrantOutcome.DONE), now + 0.2)
        later = m.RequestGrant(_work("later", received=now + 0.3))
        assert _grants(dispatcher.handle(later, now + 0.3)) == {"later": "t0"}

    def test_slots_of_a_dead_instance_are_freed(self):
        dispatcher = _dispatcher((1,))
        dispatcher.handle(m.RequestGrant(_work("a", instance="dead")), 0.0)
        dispatcher.handle(m.RequestGrant(_work("b")), 0.0)
        assert _grants(dispatcher.handle(m.InstanceGone("dead"), 1.0)) == {"b": "t0"}

    def test_unreachable_target_backs_off(self):
        dispatcher = _dispatcher((4, 4, 4))
        dispatcher.handle(m.RequestGrant(_work("a")), 0.0)
        dispatcher.handle(m.Finished("a", m.GrantOutcome.UNREACHABLE), 0.1)
        grants = {}
        for n in range(6):
            grants |= _grants(dispatcher.handle(m.RequestGrant(_work(f"b{n}")), 0.2))
        assert "t0" not in grants.values()

    @pytest.mark.parametrize(
        "answer",
        [
            m.FirstToken("b", 0.05),
            m.Finished("b", m.GrantOutcome.DONE, 1, 0.0),
            m.Finished("b", m.GrantOutcome.REJECTED),
        ],
        ids=["first token", "answer", "rejection"],
    )
    def test_answers_to_others_refute_that_it_is_unreachable(self, answer):
        """Guards against resting a target for all since one instance is partitioned."""
        dispatcher = _dispatcher((4,))
        for ask, instance in (("a", "partitioned"), ("b", "other")):
            work = _work(ask, instance=instance)
            dispatcher.handle(m.RequestGrant(work), 0.0)
        dispatcher.handle(answer, 0.1)
        dispatcher.handle(m.Finished("a", m.GrantOutcome.UNREACHABLE), 0.2)
        rested_s = 0.15 if answer.__class__ is m.Finished else 0.0
        state = dispatcher.summary(0.2 + rested_s)["targets"]["t0"]
        assert "f0.00" in state
        assert "resting" not in state

    def test_an_answer_before_the_grant_refutes_nothing(self):
        dispatcher = _dispatcher((4,))
        dispatcher.handle(m.RequestGrant(_work("b")), 0.0)
        dispatcher.handle(m.Finished("b", m.GrantOutcome.DONE, 1, 0.0), 0.1)
        dispatcher.handle(m.RequestGrant(_work("a")), 0.2)
        dispatcher.handle(m.Finished("a", m.GrantOutcome.UNREACHABLE), 0.3)
        assert "resting" in dispatcher.summary(0.3)["targets"]["t0"]

    def test_all_targets_are_used_when_most_are_unreachable(self):
        """An instance that is cut off must not remove the targets from all others."""
        dispatcher = _dispatcher((1, 1, 1))
        for n in range(3):
            dispatcher.handle(m.RequestGrant(_work(f"a{n}")), 0.0)
        for n in range(3):
            dispatcher.handle(m.Finished(f"a{n}", m.GrantOutcome.UNREACHABLE), 0.1)
        assert _grants(dispatcher.handle(m.RequestGrant(_work("b")), 0.2))


_STALE_MESSAGES = st.sampled_from(
    [
        m.Finished("old", m.GrantOutcome.DONE, 40, 9.0, longest_pause=3.0),
        m.Finished("old", m.GrantOutcome.UNREACHABLE),
        m.Finished("old", m.GrantOutcome.LEAVING),
        m.FirstToken("old", 9.0),
        m.Withdraw("old"),
        m.HeldGrants("i", frozenset(["old"])),
        m.LoadReport("t0@1", 9, 9, False),
        m.AdoptRunning(_work("old"), "t0@1"),
        m.LearnedEstimates({"t0@1": 9.0}),
    ]
)


class TestRestartedTarget:
    """Observations of a target do not apply after it has restarted."""

    def _plan(self, name):
        return DispatchPlan({"p": PlannedPool(True, targets={name: PlannedTarget(2)})})

    def _restarted(self):
        dispatcher = SlotDispatcher("p", self._plan("t0@1"))
        dispatcher.handle(m.Recovered(), 0.0)
        dispatcher.handle(m.RequestGrant(_work("old")), 0.0)
        dispatcher.handle(m.RequestGrant(_work("old2")), 0.0)
        dispatcher.handle(m.Configure(self._plan("t0@2")), 1.0)
        return dispatcher

    def test_its_slots_are_free_after_the_restart(self):
        dispatcher = self._restarted()
        for n in range(2):
            granted = _grants(dispatcher.handle(m.RequestGrant(_work(f"a{n}")), 1.0))
            assert granted == {f"a{n}": "t0@2"}

    @given(st.lists(_STALE_MESSAGES, max_size=12))
    def test_messages_about_the_previous_run_change_nothing(self, messages):
        """In any order and repeated: the next request is granted at the same cost."""
        updated, unchanged = self._restarted(), self._restarted()
        for message in messages:
            updated.handle(message, 1.0)
        ask = m.RequestGrant(_work("new"))
        assert updated.handle(ask, 1.1) == unchanged.handle(ask, 1.1)
        assert updated.summary(1.1) == unchanged.summary(1.1)


class TestFailingTarget:
    """A failing target frees its slots early and must not attract all requests."""

    def _end(self, dispatcher, ask, at, outcome):
        return dispatcher.handle(m.Finished(ask, outcome, 0), at)

    def _fail_until_backoff(self, dispatcher):
        for n in range(4):
            work = _work(f"f{n}", avoid=("t1",))
            assert _grants(dispatcher.handle(m.RequestGrant(work), 0.0)) == {
                f"f{n}": "t0"
            }
            self._end(dispatcher, f"f{n}", 0.0, m.GrantOutcome.FAILED)

    def test_backs_off_when_most_requests_fail(self):
        dispatcher = _dispatcher((2, 2))
        self._fail_until_backoff(dispatcher)
        assert _grants(dispatcher.handle(m.RequestGrant(_work("a")), 0.1)) == {
            "a": "t1"
        }
        assert _grants(dispatcher.handle(m.RequestGrant(_work("b")), 0.1)) == {
            "b": "t1"
        }
        assert not _grants(dispatcher.handle(m.RequestGrant(_work("c")), 0.1))

    def test_is_probed_with_one_request_and_recovers(self):
        dispatcher = _dispatcher((3, 1))
        self._fail_until_backoff(dispatcher)
        for n in range(3):
            dispatcher.handle(m.RequestGrant(_work(f"a{n}")), 0.1)
        assert _grants(dispatcher.handle(m.TimePassed(), 0.6)) == {"a1": "t0"}
        done = _grants(self._end(dispatcher, "a1", 0.7, m.GrantOutcome.DONE))
        assert done == {"a2": "t0"}
        assert _grants(dispatcher.handle(m.RequestGrant(_work("b")), 0.7)) == {
            "b": "t0"
        }

    def test_backoff_grows(self):
        dispatcher = _dispatcher((2, 2))
        self._fail_until_backoff(dispatcher)
        work = _work("again", avoid=("t1",))
        assert _grants(dispatcher.handle(m.RequestGrant(work), 0.6)) == {"again": "t0"}
        self._end(dispatcher, "again", 0.6, m.GrantOutcome.FAILED)
        assert _grants(
            dispatcher.handle(m.RequestGrant(_work("a", avoid=("t1",))), 1.2)
        ) == {"a": "t1"}

    def test_rejection_causes_a_short_backoff(self):
        dispatcher = _dispatcher((2, 2))
        dispatcher.handle(m.RequestGrant(_work("a", avoid=("t1",))), 0.0)
        self._end(dispatcher, "a", 0.0, m.GrantOutcome.REJECTED)
        later = _work("b", avoid=("t1",))
        assert _grants(dispatcher.handle(m.RequestGrant(later), 0.05)) == {"b": "t1"}
        last = _work("c", avoid=("t1",))
        assert _grants(dispatcher.handle(m.RequestGrant(last), 0.2)) == {"c": "t0"}


class TestLowestRank:
    """Guards against starving the lowest rank while higher ranks need all slots."""

    def _overloaded(self, switches=ALL_ENABLED):
        """Return the ranks granted by two slots while the top rank fills both."""
        dispatcher = _dispatcher((2,), switches=switches)
        grants = []
        for n in range(120):
            now = n * 0.05
            for rank in (0, 0, 2):
                ask = _work(f"a{n}.{rank}.{len(grants)}", rank, now + 1.0, now)
                grants += dispatcher.handle(
                    m.RequestGrant(replace(ask, ask=f"{n}-{rank}")), now
                )
            running = [g.work.ask for g in grants if isinstance(g, m.Grant)][-2:]
            done = m.Finished(running[0], m.GrantOutcome.DONE, 10)
            grants += dispatcher.handle(done, now + 0.01)
        return [g.work.rank for g in grants if isinstance(g, m.Grant)]

    def test_receives_a_share_of_grants(self):
        ranks = self._overloaded()
        assert 0.1 < ranks.count(2) / len(ranks) < 0.5

    def test_summary_contains_the_grant_share_of_each_rank(self):
        dispatcher = _dispatcher((1,))
        for n in range(12):
            dispatcher.handle(m.RequestGrant(_work(f"a{n}", rank=n % 2 * 2)), 0.0)
        assert dispatcher.summary(0.0)["granted"] == {}
        for n in range(12):
            dispatcher.handle(m.RequestGrant(_work(f"b{n}", rank=n % 2 * 2)), 0.0)
        assert dispatcher.summary(0.0)["granted"] == {"0": 0.08, "2": 0.0}

    def test_receives_almost_nothing_without_the_rank_floor(self):
        ranks = self._overloaded(Switches.disabling("rank_floor"))
        assert ranks.count(2) / len(ranks) < 0.05

    def test_overload_of_a_higher_rank_is_detected_behind_it(self):
        """The last request may be in time although one of a higher rank is late."""
        dispatcher = _dispatcher((1,))
        dispatcher.handle(m.RequestGrant(_work("busy")), 0.0)
        refused = []
        for n in range(60):
            ask = _work(f"r1.{n}", 1, deadline=0.3, tokens=2000)
            refused += dispatcher.handle(m.RequestGrant(ask), 0.0)
        dispatcher.handle(m.RequestGrant(_work("last", 2, deadline=90.0)), 0.0)
        refused += dispatcher.handle(m.TimePassed(), 0.01)
        assert any(isinstance(d, m.Refuse) and d.work.rank == 1 for d in refused)
        assert dispatcher.is_undecided("last")


class TestRefusing:
    def test_refuses_at_the_deadline_with_retry_after(self):
        dispatcher = _dispatcher((1,))
        dispatcher.handle(m.RequestGrant(_work("a")), 0.0)
        dispatcher.handle(m.RequestGrant(_work("b", deadline=0.5)), 0.0)
        (refusal,) = dispatcher.handle(m.TimePassed(), 0.6)
        assert isinstance(refusal, m.Refuse)
        assert refusal.work.ask == "b"
        assert refusal.retry_after > 0

    def test_refuses_at_once_when_the_queue_is_too_long(self):
        dispatcher = _dispatcher((1,))
        dispatcher.handle(m.RequestGrant(_work("a", tokens=1000)), 0.0)
        for n in range(5):
            dispatcher.handle(m.RequestGrant(_work(f"b{n}", tokens=1000)), 0.0)
        (refusal,) = dispatcher.handle(m.RequestGrant(_work("c", deadline=2.0)), 0.0)
        assert isinstance(refusal, m.Refuse)

    def test_refuses_at_once_although_a_late_request_is_last(self):
        """A late request waits longer and must not hide that the queue is too long."""
        dispatcher = _dispatcher((1,))
        dispatcher.handle(m.RequestGrant(_work("a", tokens=1000)), 0.0)
        late = m.Work(
            "l",
            "l",
            "i",
            "c",
            "2",
            2,
            500,
            10,
            0.5,
            0.3,
            first_token_due=0.1,
            answer_due=9.0,
        )
        assert dispatcher.handle(m.RequestGrant(late), 0.3) == []
        refused = []
        for n in range(6):
            work = m.Work(
                f"b{n}",
                f"b{n}",
                "i",
                "c",
                "1",
                1,
                500,
                400,
                0.5,
                0.3,
                first_token_due=1.1,
                answer_due=9,
            )
            refused += dispatcher.handle(m.RequestGrant(work), 0.3)
        assert "l" in {refusal.work.ask for refusal in refused}
        assert len(refused) > 2

    def test_refuses_nothing_while_a_slot_is_free(self):
        dispatcher = _dispatcher((1,))
        decisions = dispatcher.handle(m.RequestGrant(_work("a", deadline=0.0)), 5.0)
        assert _grants(decisions) == {"a": "t0"}


class TestLearning:
    def test_estimates_of_another_dispatcher_are_imported(self):
        first, second = _dispatcher((4, 4)), _dispatcher((4, 4))
        first.handle(m.RequestGrant(_work("a")), 0.0)
        first.handle(m.Finished("a", m.GrantOutcome.DONE, 50, 5.0), 5.0)
        second.handle(first.learned_estimates, 6.0)
        assert second.targets["t0"].slowness == first.targets["t0"].slowness > 5
        assert _grants(second.handle(m.RequestGrant(_work("b")), 7.0)) == {"b": "t1"}

    def test_fast_prefill_allows_long_prompts_on_slow_targets(self):
        """With the initial estimate they seemed late there and waited without need."""
        dispatcher = _dispatcher((8, 8))
        dispatcher.handle(m.LearnedEstimates({"t0": 1.0, "t1": 4.0}), 0.0)
        for n in range(30):
            prompt = (500, 4000, 9000)[n % 3]
            work = m.Work(f"a{n}", "r", "i", "c", "0", 0, prompt, 50, n + 1.0, n)
            (name,) = _grants(dispatcher.handle(m.RequestGrant(work), n)).values()
            seconds = (0.02 + prompt / 130_000) * dispatcher.targets[name].slowness
            dispatcher.handle(m.FirstToken(f"a{n}", seconds), n + seconds)
            dispatcher.handle(m.Finished(f"a{n}", m.GrantOutcome.CANCELLED), n + 0.9)
        for n in range(8):
            busy = m.Work(f"b{n}", "r", "i", "c", "0", 0, 1, 50, 99.0, 50.0)
            dispatcher.handle(m.RequestGrant(busy), 50.0)
            dispatcher.handle(m.FirstToken(f"b{n}", 0.02), 50.0)
        long = m.Work(
            "c", "r", "i", "c", "0", 0, 9000, 50, 50.3, 50.1, first_token_due=50.6
        )
        assert _grants(dispatcher.handle(m.RequestGrant(long), 50.1)) == {"c": "t1"}

    def test_a_request_is_not_started_where_it_would_end_late(self):
        """An answer cut off by its caller's deadline is lost and may not run again."""
        dispatcher = _dispatcher((1, 1))
        dispatcher.handle(m.LearnedEstimates({"t0": 1.0, "t1": 5.0}), 0.0)
        dispatcher.handle(m.RequestGrant(_work("a")), 0.0)
        work = m.Work(
            "b",
            "b",
            "i",
            "c",
            "0",
            0,
            500,
            850,
            0.5,
            0.0,
            first_token_due=1.0,
            answer_due=12.0,
        )
        assert dispatcher.handle(m.RequestGrant(work), 0.0) == []
        done = m.Finished("a", m.GrantOutcome.DONE, 10, 0.1)
        assert _grants(dispatcher.handle(done, 0.3)) == {"b": "t0"}

    def test_a_huge_prompt_does_not_delay_streams_of_a_slow_target(self):
        """Guards against granting any free slot to a prompt that is late everywhere."""
        targets = {name: PlannedTarget(2) for name in ("fast", "slow")}
        plan = DispatchPlan({"p": PlannedPool(True, 6, 0.3, targets)})
        dispatcher = SlotDispatcher("p", plan)
        dispatcher.handle(m.Recovered(), 0.0)
        slowness = {"fast": 1.0, "slow": 5.0}
        dispatcher.handle(
            m.LearnedEstimates(slowness, 0.02, 9e-6, prefill_chunk_s=0.15), 0.0
        )

        def ask(name, prompt, now, due):
            work = m.Work(
                name, name, "i", "c", "0", 0, prompt, 50, now + 0.2, now,
                first_token_due=due, answer_due=now + 15.0,
            )  # fmt: skip
            return _grants(dispatcher.handle(m.RequestGrant(work), now))

        for n in range(3):
            assert ask(f"a{n}", 300, 0.0, 1.0)
            dispatcher.handle(m.FirstToken(f"a{n}", 0.05), 0.1)
        assert len(dispatcher.targets["fast"].running) == 2
        assert not ask("huge", 60_000, 0.2, 0.5)
        done = m.Finished("a0", m.GrantOutcome.DONE, 10, 0.2)
        assert _grants(dispatcher.handle(done, 0.4)) == {"huge": "fast"}

    def test_waits_for_a_target_that_serves_in_time(self):
        dispatcher = _dispatcher((1, 1))
        dispatcher.handle(m.LearnedEstimates({"t0": 1.0, "t1": 8.0}), 0.0)
        dispatcher.handle(m.RequestGrant(_work("a")), 0.0)
        work = m.Work(
            "b",
            "b",
            "i",
            "c",
            "0",
            0,
            20_000,
            50,
            deadline=0.8,
            received_at=0.0,
            first_token_due=1.0,
        )
        assert dispatcher.handle(m.RequestGrant(work), 0.0) == []
        short = m.Work(
            "c", "c", "i", "c", "1", 1, 10, 50, 0.8, 0.0, first_token_due=1.0
        )
        assert _grants(dispatcher.handle(m.RequestGrant(short), 0.1)) == {"c": "t1"}
        done = m.Finished("a", m.GrantOutcome.DONE, 10, 0.1)
        assert _grants(dispatcher.handle(done, 0.3)) == {"b": "t0"}


class TestContinuations:
    """Requests that continue a stream run only at the version that began it."""

    def _dispatcher(self, **pool_options):
        targets = {
            "old0": PlannedTarget(1, version="v1"),
            "old1": PlannedTarget(1, version="v1"),
            "new": PlannedTarget(4, version="v2"),
        }
        options = {"current_versions": frozenset({"v2"})} | pool_options
        pool = PlannedPool(True, targets=targets, **options)
        dispatcher = SlotDispatcher("p", DispatchPlan({"p": pool}))
        dispatcher.handle(m.Recovered(), 0.0)
        return dispatcher

    def _continuation(self, ask, version="v1", **fields):
        return replace(_work(ask, **fields), bound_version=version)

    def test_are_granted_targets_of_their_version(self):
        dispatcher = self._dispatcher()
        granted = {}
        for ask in ("a", "b", "c"):
            message = m.RequestGrant(self._continuation(ask))
            granted |= _grants(dispatcher.handle(message, 0.0))
        assert sorted(granted.values()) == ["old0", "old1"]
        assert dispatcher.is_undecided("c")
        assert dispatcher.instances_waiting() == {"i"}
        done = m.Finished("a", m.GrantOutcome.DONE, 10)
        assert _grants(dispatcher.handle(done, 0.1)) == {"c": granted["a"]}

    def test_do_not_delay_requests_that_other_targets_can_run(self):
        dispatcher = self._dispatcher()
        for ask in ("a", "b", "c", "d"):
            dispatcher.handle(m.RequestGrant(self._continuation(ask)), 0.0)
        assert _grants(dispatcher.handle(m.RequestGrant(_work("e")), 0.0)) == {
            "e": "new"
        }

    def test_are_refused_at_once_without_a_target_of_their_version(self):
        dispatcher = self._dispatcher()
        work = self._continuation("a", "v0")
        (refusal,) = dispatcher.handle(m.RequestGrant(work), 0.0)
        assert (refusal.work, refusal.reason) == (work, m.RefusalReason.VERSION_GONE)
        assert not dispatcher.is_undecided("a")

    def test_are_refused_at_their_deadline(self):
        dispatcher = self._dispatcher()
        for ask in ("a", "b", "c"):
            work = self._continuation(ask, deadline=1.0)
            dispatcher.handle(m.RequestGrant(work), 0.0)
        (refusal,) = dispatcher.handle(m.TimePassed(), 1.0)
        assert (refusal.work.ask, refusal.reason) == ("c", m.RefusalReason.LOAD)

    def test_go_after_requests_of_higher_ranks(self):
        dispatcher = self._dispatcher()
        for ask in "abcd":
            dispatcher.handle(m.RequestGrant(_work(ask)), 0.0)
        dispatcher.handle(m.RequestGrant(_work("high", rank=0)), 0.0)
        low = self._continuation("low", "v2", rank=1)
        assert dispatcher.handle(m.RequestGrant(low), 0.0) == []
        done = m.Finished("a", m.GrantOutcome.DONE, 10)
        assert _grants(dispatcher.handle(done, 0.1)).keys() == {"high"}

    def test_do_not_wait_for_requests_that_their_version_does_not_receive(self):
        dispatcher = self._dispatcher()
        for ask in "abcd":
            dispatcher.handle(m.RequestGrant(_work(ask)), 0.0)
        dispatcher.handle(m.RequestGrant(_work("high", rank=0)), 0.0)
        message = m.RequestGrant(self._continuation("low", rank=1))
        assert _grants(dispatcher.handle(message, 0.0)).keys() == {"low"}

    def test_do_not_go_on_at_a_version_that_was_rolled_back(self):
        dispatcher = self._dispatcher(rejected_version="v1")
        message = m.RequestGrant(self._continuation("a"))
        (refusal,) = dispatcher.handle(message, 0.0)
        assert refusal.reason is m.RefusalReason.VERSION_GONE

    @pytest.mark.parametrize("event", ["withdrawn", "instance gone"])
    def test_are_dropped(self, event):
        dispatcher = self._dispatcher()
        for ask in ("a", "b", "c"):
            dispatcher.handle(m.RequestGrant(self._continuation(ask)), 0.0)
        gone = m.Withdraw("c") if event == "withdrawn" else m.InstanceGone("i")
        dispatcher.handle(gone, 0.1)
        assert dispatcher.waiting == {}

    def test_are_queued_with_the_others_where_one_version_serves(self):
        dispatcher = self._dispatcher()
        for ask in "abcd":
            dispatcher.handle(m.RequestGrant(_work(ask)), 0.0)
        dispatcher.handle(m.RequestGrant(_work("first")), 0.0)
        second = self._continuation("second", "v2", received=0.1)
        dispatcher.handle(m.RequestGrant(second), 0.1)
        done = m.Finished("a", m.GrantOutcome.DONE, 10)
        assert _grants(dispatcher.handle(done, 0.2)).keys() == {"first"}

    def test_count_as_requests_of_a_version_in_its_rollout(self):
        """A continuation at a new version uses the budget like any other request."""
        rollout = PlannedRollout("v1", 1, 60.0, 0.3, False, ExposureLimits(0.0, 2.0))
        dispatcher = self._dispatcher(rollout=rollout)
        granted = {}
        for ask in ("a", "b", "c"):
            message = m.RequestGrant(self._continuation(ask))
            granted |= _grants(dispatcher.handle(message, 0.0))
            dispatcher.handle(m.Finished(ask, m.GrantOutcome.DONE, 10), 0.0)
        assert dispatcher.rollout.progress.exposed == len(granted)
        assert len(granted) < 3


class TestResumedStreams:
    """Requests that resume a stream run at the version that began it."""

    def _plan(self, origins=("v1", "v2")):
        targets = {
            name: PlannedTarget(4, version=version)
            for name, version in (("old", "v1"), ("new", "v2"))
        }
        pool = PlannedPool(
            True,
            targets=targets,
            current_versions=frozenset({"v2"}),
            stream_origins=frozenset(origins),
        )
        return DispatchPlan({"p": pool})

    def _dispatcher(self, *, origins=("v1", "v2"), confirmed_at=1.0, **options):
        dispatcher = SlotDispatcher("p", self._plan(origins), **options)
        dispatcher.handle(m.Recovered(), 0.0)
        dispatcher.handle(m.OriginsConfirmed(confirmed_at), 0.0)
        return dispatcher

    def _resuming(self, ask, **fields):
        return m.RequestGrant(replace(_work(ask, **fields), resumes=7))

    def test_run_at_the_version_that_brought_their_first_event(self):
        dispatcher = self._dispatcher()
        dispatcher.stream_versions.record(7, "v1", 0.0)
        assert _grants(dispatcher.handle(self._resuming("b"), 0.0)) == {"b": "old"}

    def test_are_refused_if_their_grant_has_brought_no_event(self):
        """Guards against an outdated request's grant that counts as a stream's start.

        Its instance has a target from another dispatcher, and returns the grant later.
        """
        dispatcher = self._dispatcher()
        outdated = replace(_work("a"), stream=7)
        assert _grants(dispatcher.handle(m.RequestGrant(outdated), 0.0))
        (refusal,) = dispatcher.handle(self._resuming("b"), 0.0)
        assert refusal.reason is m.RefusalReason.VERSION_UNKNOWN

    def test_are_refused_if_several_versions_may_have_begun_them(self):
        (refusal,) = self._dispatcher().handle(self._resuming("a"), 0.0)
        assert refusal.reason is m.RefusalReason.VERSION_UNKNOWN

    def test_run_at_the_only_version_that_may_have_begun_them(self):
        dispatcher = self._dispatcher(origins=["v2"])
        assert _grants(dispatcher.handle(self._resuming("a"), 1.0)) == {"a": "new"}

    @pytest.mark.parametrize("standby_instance", ["", "i"])
    def test_wait_until_the_only_version_is_confirmed(self, standby_instance):
        """Guards against a version that others let serve and that is not known yet."""
        dispatcher = self._dispatcher(
            origins=["v2"], confirmed_at=0.9, standby_instance=standby_instance
        )
        resuming = self._resuming("a", received=1.0)
        assert dispatcher.handle(resuming, 1.0) == [m.ConfirmOrigins()]
        earlier = m.OriginsConfirmed(0.99)
        assert dispatcher.handle(earlier, 1.01) == [m.ConfirmOrigins()]
        later = m.OriginsConfirmed(1.0)
        assert _grants(dispatcher.handle(later, 1.02)) == {"a": "new"}

    def test_are_refused_if_a_later_version_is_confirmed(self):
        dispatcher = self._dispatcher(origins=["v2"], confirmed_at=0.9)
        dispatcher.handle(self._resuming("a", received=1.0), 1.0)
        (refusal,) = dispatcher.handle(m.Configure(self._plan()), 1.1)
        assert refusal.reason is m.RefusalReason.VERSION_UNKNOWN

    @pytest.mark.parametrize("deadline", [1.2, 2.5])
    def test_are_refused_without_a_confirmation(self, deadline):
        dispatcher = self._dispatcher(origins=["v2"], confirmed_at=0.9)
        dispatcher.handle(self._resuming("a", received=1.0, deadline=deadline), 1.0)
        end = max(deadline, 1.0 + CONFIRMATION_WAIT_S)
        assert dispatcher.handle(m.TimePassed(), end - 0.1) == [m.ConfirmOrigins()]
        (refusal,) = dispatcher.handle(m.TimePassed(), end)
        assert refusal.reason is m.RefusalReason.VERSION_UNKNOWN

    def test_run_at_a_version_that_no_longer_serves_if_only_it_began_them(self):
        dispatcher = self._dispatcher(origins=["v1"])
        assert _grants(dispatcher.handle(self._resuming("a"), 1.0)) == {"a": "old"}

    def test_are_refused_if_the_only_version_that_began_them_is_gone(self):
        """Guards against streams joined after the next version took over."""
        dispatcher = self._dispatcher(origins=["v0"])
        (refusal,) = dispatcher.handle(self._resuming("a"), 1.0)
        assert refusal.reason is m.RefusalReason.VERSION_GONE

    def test_wait_at_a_standby_dispatcher(self):
        """The pool's dispatcher may know a stream that its standby does not."""
        dispatcher = self._dispatcher(standby_instance="i")
        assert dispatcher.handle(self._resuming("a", deadline=1.0), 0.0) == []
        (refusal,) = dispatcher.handle(m.TimePassed(), 1.0)
        assert refusal.reason is m.RefusalReason.VERSION_UNKNOWN

    def test_of_a_version_in_its_rollout_wait_at_a_standby_dispatcher(self):
        """The pool's dispatcher may grant them, as it counts what the version gets."""
        dispatcher = self._dispatcher(standby_instance="i")
        rollout = PlannedRollout("v1", 1, 60.0, 0.3, False, ExposureLimits())
        pool = replace(self._plan().pools["p"], rollout=rollout)
        dispatcher.handle(m.Configure(DispatchPlan({"p": pool})), 0.0)
        work = replace(_work("a", deadline=1.0), bound_version="v1")
        assert dispatcher.handle(m.RequestGrant(work), 0.0) == []
        (refusal,) = dispatcher.handle(m.TimePassed(), 1.0)
        assert refusal.reason is m.RefusalReason.VERSION_GONE

    def test_that_wait_are_bound_when_another_version_appears(self):
        dispatcher = self._dispatcher(origins=["v2"])
        for ask in "abcd":
            dispatcher.handle(m.RequestGrant(_work(ask)), 0.0)
        assert dispatcher.handle(self._resuming("waiting"), 0.0) == []
        (refusal,) = dispatcher.handle(m.Configure(self._plan()), 0.1)
        assert refusal.reason is m.RefusalReason.VERSION_UNKNOWN

    def test_follow_a_target_that_changes_its_version(self):
        """Guards against the version of a target's first entry being used for good.

        A target that does not tell its start keeps its name when it starts again.
        """
        dispatcher = self._dispatcher()
        dispatcher.stream_versions.record(7, "v1", 0.0)
        pool = self._plan().pools["p"]
        targets = {**pool.targets, "old": PlannedTarget(4, version="v2")}
        plan = DispatchPlan({"p": replace(pool, targets=targets)})
        dispatcher.handle(m.Configure(plan), 0.1)
        (refusal,) = dispatcher.handle(self._resuming("b"), 0.2)
        assert refusal.reason is m.RefusalReason.VERSION_GONE
        for number in range(8):
            dispatcher.handle(m.RequestGrant(_work(f"c{number}")), 0.3)
        assert len(dispatcher.targets["old"].running) == 4
