"""Tests of hibiscusstep.routing.suspect_isolation: isolation of suspected requests."""

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher


def _dispatcher(targets=2):
    planned = {f"t{n}": PlannedTarget(4) for n in range(targets)}
    dispatcher = SlotDispatcher(
        "p", DispatchPlan({"p": PlannedPool(True, targets=planned)})
    )
    dispatcher.handle(m.Recovered(), 0.0)
    return dispatcher


def _ask(dispatcher, ask, suspect=0, at=1.0):
    work = m.Work(
        ask, ask, "i", "c", "0", 0, 500, 100, 100.0, at, suspect=suspect
    )  # fmt: skip
    return _grants(dispatcher.handle(m.RequestGrant(work), at))


def _grants(decisions):
    return {d.work.ask: d.target for d in decisions if isinstance(d, m.Grant)}


class TestSuspectedRequests:
    def test_never_share_a_target(self):
        """One of them may be harmless: the next crash must not count against it."""
        dispatcher = _dispatcher(2)
        placed = _ask(dispatcher, "a", 7) | _ask(dispatcher, "b", 8)
        assert len(set(placed.values())) == 2
        assert _ask(dispatcher, "c", 9) == {}

    def test_same_request_runs_on_one_target_at_a_time(self):
        """It can crash only one target before that crash is known."""
        dispatcher = _dispatcher(3)
        assert _ask(dispatcher, "a", 7)
        assert _ask(dispatcher, "again", 7) == {}
        done = m.Finished("a", m.GrantOutcome.DONE, 10)
        assert _grants(dispatcher.handle(done, 2.0)).keys() == {"again"}

    def test_do_not_restrict_other_requests(self):
        dispatcher = _dispatcher(2)
        _ask(dispatcher, "a", 7)
        _ask(dispatcher, "b", 8)
        granted = {}
        for number in range(6):
            granted |= _ask(dispatcher, f"sound{number}")
        assert len(granted) == 6

    def test_do_not_block_other_requests_while_queued(self):
        dispatcher = _dispatcher(1)
        _ask(dispatcher, "a", 7)
        _ask(dispatcher, "waits", 8)
        assert _ask(dispatcher, "sound").keys() == {"sound"}

    def test_many_do_not_block_other_requests_while_queued(self):
        dispatcher = _dispatcher(1)
        _ask(dispatcher, "a", 7)
        for number in range(3):
            _ask(dispatcher, f"busy{number}")
        for number in range(20):
            _ask(dispatcher, f"waits{number}", 7, at=1.1)
        _ask(dispatcher, "sound", at=1.2)
        done = m.Finished("busy0", m.GrantOutcome.DONE, 10)
        assert _grants(dispatcher.handle(done, 2.0)).keys() == {"sound"}


class TestRestingTargets:
    def test_are_not_granted_to_the_instance_that_reported_them(self):
        dispatcher = _dispatcher(2)
        work = m.Work(
            "a", "a", "i", "c", "0", 0, 500, 100, 100.0, 1.0, avoided_by_backoff=("t0",)
        )  # fmt: skip
        assert _grants(dispatcher.handle(m.RequestGrant(work), 1.0)) == {"a": "t1"}
        both = m.Work(
            "b", "b", "i", "c", "0", 0, 500, 100, 100.0, 1.0,
            avoided_by_backoff=("t0", "t1"),
        )  # fmt: skip
        assert _grants(dispatcher.handle(m.RequestGrant(both), 1.0)) == {}
        assert _ask(dispatcher, "another's").keys() == {"another's"}
