"""hibiscusstep.forwarding.pool_versions: pool versions and orders, and their merge."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hibiscusstep import codec
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.pool_versions import PoolVersionTable
from hibiscusstep.forwarding.saved_rollouts import (
    SavedRollout,
    from_document,
    to_document,
)
from hibiscusstep.peer import RolloutRecord
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.rollout.controller import RolloutProgress
from hibiscusstep.rollout.order import RolloutOrder, RolloutState

POOL = "p"
LIMITS = ExposureLimits()
_SAVED = to_document(SavedRollout("v2", 1.0, RolloutProgress()))


def _targets(*versions):
    return [
        DiscoveredTarget(f"t{n}", POOL, "a:1", "z", 4, False, 1, 1 + n, version)
        for n, version in enumerate(versions)
    ]


def _order(version="v2", revision=5, state=None, state_version="", duration=10.0):
    return RolloutOrder(POOL, version, duration, revision, state, state_version)


def _round_trip(record):
    return codec.decode(RolloutRecord, codec.encode(record))


class TestServing:
    def test_the_only_version_is_current(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1", "v1"), 0.0)
        assert table.serving_versions(POOL) == {"v1"}

    def test_a_version_that_appears_later_is_not_current(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1"), 0.0)
        table.update_targets(_targets("v1", "v2", "v2"), 1.0)
        assert table.serving_versions(POOL) == {"v1"}
        assert table.barred_versions(POOL) == {"v2"}

    def test_none_of_several_versions_serves_before_one_is_known(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1", "v2"), 0.0)
        assert table.ambiguous_pools() == [POOL]
        assert "v1" not in table.serving_versions(POOL)
        assert table.serving_versions(POOL)

    def test_an_order_reveals_the_current_version(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1", "v2"), 0.0)
        table.apply_order(_order(), 0.0)
        assert table.serving_versions(POOL) == {"v1"}

    def test_a_completed_order_reveals_the_current_version(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1", "v2"), 0.0)
        table.apply_order(_order(state=RolloutState.COMPLETED, state_version="v2"), 0.0)
        assert table.serving_versions(POOL) == {"v2"}
        assert table.planned_rollout(POOL, LIMITS, 0.3) is None

    def test_the_version_with_the_oldest_target_is_guessed(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1", "v2", "v2"), 0.0)
        table.guess_serving(POOL, 0.0)
        assert table.serving_versions(POOL) == {"v1"}

    def test_a_peer_that_has_known_the_version_for_longer_wins(self):
        older, younger = PoolVersionTable(), PoolVersionTable()
        older.update_targets(_targets("v1"), 0.0)
        older.update_targets(_targets("v1", "v2"), 50.0)
        younger.update_targets(_targets("v2"), 49.0)
        (record,) = older.records(60.0)
        assert younger.merge_record(_round_trip(record), 60.0)
        assert younger.serving_versions(POOL) == {"v1"}

    def test_questions_of_an_unknown_pool_add_no_entry(self):
        """Instances read the orders of the store for the pools that are known here."""
        table = PoolVersionTable()
        assert not table.has_order(POOL)
        assert table.ordered_version(POOL) is None
        assert table.rejected_version(POOL) is None
        assert list(table) == []

    def test_the_version_of_an_order_is_known_until_it_ends(self):
        table = PoolVersionTable()
        table.apply_order(_order(), 1.0)
        assert table.has_order(POOL)
        assert table.ordered_version(POOL) == "v2"
        for revision, state in enumerate(RolloutState, start=6):
            known = _order(revision=revision, state=state, state_version="v2")
            table.apply_order(known, 1.1)
            expected = "v2" if state is RolloutState.RUNNING else None
            assert table.ordered_version(POOL) == expected


class TestOrders:
    def test_a_status_update_does_not_restart_the_order(self):
        table = PoolVersionTable()
        table.apply_order(_order(), 1.0)
        table.set_progress(POOL, 5, RolloutProgress(10, 2, 1))
        table.apply_order(
            _order(revision=6, state=RolloutState.RUNNING, state_version="v2"), 3.0
        )
        assert (table[POOL].number, table[POOL].began) == (5, 1.0)
        assert table[POOL].progress.requests == 10
        assert table[POOL].state_to_write is None

    def test_an_order_is_not_carried_out_before_its_status_is_running(self):
        """Guards against taking the order for new after all instances restarted."""
        table = PoolVersionTable()
        table.update_targets(_targets("v1"), 0.0)
        table.apply_order(_order(), 1.0)
        assert table.planned_rollout(POOL, LIMITS, 0.3) is None
        table.apply_order(
            _order(revision=6, state=RolloutState.RUNNING, state_version="v2"), 1.1
        )
        assert table.planned_rollout(POOL, LIMITS, 0.3).version == "v2"

    def test_a_running_order_continues_after_a_restore_lost_its_status(self):
        table = PoolVersionTable()
        table.apply_order(
            _order(revision=6, state=RolloutState.RUNNING, state_version="v2"), 1.0
        )
        table.apply_order(_order(revision=100), 2.0)
        assert table.planned_rollout(POOL, LIMITS, 0.3) is not None

    def test_a_removal_may_carry_the_last_revision_of_the_order(self):
        one, other = PoolVersionTable(), PoolVersionTable()
        for table in (one, other):
            table.apply_order(
                _order(state=RolloutState.RUNNING, state_version="v2"), 1.0
            )
        assert one.withdraw_order(POOL, 5)
        assert not one.withdraw_order(POOL, 5)
        other.merge_record(_round_trip(one.records(2.0)[0]), 2.0)
        assert not one.running_pools
        assert not other.running_pools

    def test_a_delayed_removal_withdraws_no_newer_order(self):
        table = PoolVersionTable()
        table.apply_order(_order(revision=9), 1.0)
        assert not table.withdraw_order(POOL, 5)
        assert table.running_pools == [POOL]

    def test_a_replacing_order_starts_anew(self):
        table = PoolVersionTable()
        table.apply_order(_order(), 1.0)
        table.conclude(POOL, 5, RolloutState.ROLLED_BACK)
        replaced = _order("v3", 7, RolloutState.ROLLED_BACK, "v2")
        table.apply_order(replaced, 9.0)
        assert table[POOL].is_running
        assert table[POOL].state_to_write is RolloutState.RUNNING

    def test_the_same_version_ordered_again_starts_anew(self):
        table = PoolVersionTable()
        table.apply_order(
            _order(state=RolloutState.ROLLED_BACK, state_version="v2"), 1.0
        )
        again = _order("v2", 7, RolloutState.ROLLED_BACK, "v2", duration=20.0)
        table.apply_order(again, 9.0)
        assert table[POOL].is_running
        (record,) = table.records(10.0)
        table.merge_record(_round_trip(record), 10.0)
        assert table[POOL].is_running
        assert table[POOL].state_to_write is RolloutState.RUNNING

    def test_progress_is_unknown_if_the_order_was_first_seen_running(self):
        table = PoolVersionTable()
        table.apply_order(_order(state=RolloutState.RUNNING, state_version="v2"), 1.0)
        assert not table[POOL].progress.is_known
        table.restore_progress(POOL, 5, 4.0, RolloutProgress(100, 9, 3), 2.0)
        planned = table.planned_rollout(POOL, LIMITS, 0.3)
        assert planned.progress.exposed == 9
        assert planned.deadline == 2.0 - 4.0 + 10.0

    def test_progress_of_a_peer_is_merged(self):
        one, other = PoolVersionTable(), PoolVersionTable()
        for table in (one, other):
            table.apply_order(_order(), 1.0)
        one.set_progress(POOL, 5, RolloutProgress(200, 20, 15))
        (record,) = one.records(4.0)
        other.merge_record(_round_trip(record), 4.0)
        assert other[POOL].progress.exposed == 20

    def test_a_peer_that_saw_only_the_status_keeps_the_progress(self):
        one, other = PoolVersionTable(), PoolVersionTable()
        one.apply_order(_order(), 1.0)
        one.set_progress(POOL, 5, RolloutProgress(200, 20, 15))
        running = _order(revision=6, state=RolloutState.RUNNING, state_version="v2")
        one.apply_order(running, 2.0)
        other.apply_order(running, 2.0)
        other.merge_record(_round_trip(one.records(3.0)[0]), 3.0)
        one.merge_record(_round_trip(other.records(3.0)[0]), 3.0)
        assert one[POOL].progress.exposed == other[POOL].progress.exposed == 20
        assert one[POOL].number == other[POOL].number == 5

    def test_the_first_written_final_state_wins(self):
        table = PoolVersionTable()
        table.apply_order(_order(), 1.0)
        table.conclude(POOL, 5, RolloutState.COMPLETED)
        table.apply_order(
            _order(revision=6, state=RolloutState.ROLLED_BACK, state_version="v2"), 2.0
        )
        assert table[POOL].is_rejected
        assert table[POOL].state_to_write is None

    def test_a_completion_lost_by_a_restore_is_written_again(self):
        table = PoolVersionTable()
        table.apply_order(_order(), 1.0)
        done = _order(revision=6, state=RolloutState.COMPLETED, state_version="v2")
        table.apply_order(done, 2.0)
        table.apply_order(_order(revision=100), 3.0)
        assert table[POOL].state_to_write is RolloutState.COMPLETED
        assert table.serving_versions(POOL) == {"v2"}

    def test_a_pool_with_one_version_and_no_order_has_no_record(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1", "v1"), 0.0)
        assert table.records(1.0) == []


class TestSavedDocument:
    def test_round_trip(self):
        saved = SavedRollout("v2", 1000.5, RolloutProgress(9, 3, 2, evidence=0.25))
        assert from_document(POOL, to_document(saved)) == saved

    @pytest.mark.parametrize(
        "document",
        [{}, [], "text", {"version": "v2"}, {**_SAVED, "requests": "many"}],
    )
    def test_a_malformed_document_is_logged_and_ignored(self, document, caplog):
        assert from_document(POOL, document) is None
        assert "kept rollout ignored" in caplog.text

    def test_no_document_gives_none(self):
        assert from_document(POOL, None) is None


class OrderStateMachine(RuleBasedStateMachine):
    """Instances with a table each, and one store.

    Orders are given and withdrawn, statuses are written conditionally on the store's
    revision, instances restart without state, and records arrive late or repeatedly.
    """

    INSTANCES = 3
    TARGETS = _targets("v1", "v1", "v2", "v3")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.revisions = itertools.count(1)
        self.store = None
        self.revision = 0
        self.current = "v1"
        self.tables = [self._new_table() for _ in range(self.INSTANCES)]
        self.in_flight = []
        # Rejected orders, by the store revision of their specification.
        self.rejected = set()
        self.spec_revision = 0

    def _new_table(self):
        table = PoolVersionTable()
        table.update_targets(self.TARGETS[:2], self.now)
        table.update_targets(self.TARGETS, self.now)
        return table

    def _write(self, order):
        self.revision = next(self.revisions)
        self.store = order and RolloutOrder(
            POOL, order.version, order.duration, self.revision, order.state,
            order.state_version,
        )  # fmt: skip

    @rule(version=st.sampled_from(["v2", "v3"]), duration=st.sampled_from([5.0, 9.0]))
    def order(self, version, duration):
        stored = self.store
        if stored and (stored.version, stored.duration) == (version, duration):
            return
        state, state_version = (
            (stored.state, stored.state_version) if stored else (None, "")
        )
        self._write(RolloutOrder(POOL, version, duration, 0, state, state_version))
        self.spec_revision = self.revision

    @rule()
    def withdraw(self):
        if self.store:
            self._write(None)

    @rule(at=st.integers(0, 2))
    def read_store(self, at):
        self.now += 0.1
        if self.store:
            self.tables[at].apply_order(self.store, self.now)
        elif self.revision:
            self.tables[at].withdraw_order(POOL, self.revision)

    @rule(at=st.integers(0, 2), state=st.sampled_from(list(RolloutState)))
    def conclude(self, at, state):
        """Conclude the order of a dispatching instance, without writing its status."""
        entry = self.tables[at][POOL]
        if not entry.is_running or state is RolloutState.RUNNING:
            return
        self.tables[at].conclude(POOL, entry.number, state)

    @rule(at=st.integers(0, 2))
    def write(self, at):
        entry = self.tables[at][POOL]
        state = entry.state_to_write
        if state is None or self.store is None:
            return
        if entry.order.revision != self.store.revision:
            return
        order = entry.order
        self._write(
            RolloutOrder(POOL, order.version, order.duration, 0, state, order.version)
        )
        if state is RolloutState.ROLLED_BACK:
            self.rejected.add(self.spec_revision)
        if state is RolloutState.COMPLETED:
            self.current = order.version
        self.tables[at].apply_order(self.store, self.now)

    @rule(at=st.integers(0, 2))
    def send_records(self, at):
        self.in_flight += [
            _round_trip(record) for record in self.tables[at].records(self.now)
        ]

    @rule(at=st.integers(0, 2), which=st.integers(0, 100))
    def receive_record(self, at, which):
        self.now += 0.01
        if self.in_flight:
            self.tables[at].merge_record(
                self.in_flight[which % len(self.in_flight)], self.now
            )

    @rule(at=st.integers(0, 2))
    def restart(self, at):
        """Restart an instance; it has to read the order before it dispatches."""
        self.tables[at] = PoolVersionTable()
        self.tables[at].update_targets(self.TARGETS, self.now)
        if self.store:
            self.tables[at].apply_order(self.store, self.now)
        for record in self.in_flight[-2:]:
            self.tables[at].merge_record(record, self.now)

    @invariant()
    def a_rejected_order_known_from_the_store_is_not_carried_out(self):
        if self.spec_revision not in self.rejected or self.store is None:
            return
        for table in self.tables:
            if table[POOL].revision >= self.store.revision:
                assert table.planned_rollout(POOL, LIMITS, 0.3) is None

    @invariant()
    def a_rejected_order_is_never_completed(self):
        if self.store and self.spec_revision in self.rejected:
            assert not self.store.is_completed


TestOrderStateMachine = OrderStateMachine.TestCase
TestOrderStateMachine.settings = settings(max_examples=150, stateful_step_count=40)
