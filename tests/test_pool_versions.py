"""hibiscusstep.forwarding.pool_versions: pool versions and orders, and their merge."""

import dataclasses
import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hibiscusstep import codec
from hibiscusstep.forwarding.begun_versions import UNKNOWN_VERSION
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.pool_versions import (
    NO_VERSIONS,
    PoolVersionTable,
    VersionSource,
)
from hibiscusstep.forwarding.saved_rollouts import (
    SavedRollout,
    from_document,
    to_document,
)
from hibiscusstep.peer import RolloutRecord
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.rollout.controller import RolloutProgress
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.store import StoredVersions

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
        assert table.ordered_version(POOL) is None
        assert table.rejected_version(POOL) is None
        assert list(table) == []

    def test_the_version_of_an_order_is_known_until_it_ends(self):
        table = PoolVersionTable()
        table.apply_order(_order(), 1.0)
        assert table.ordered_version(POOL) == "v2"
        for revision, state in enumerate(RolloutState, start=6):
            known = _order(revision=revision, state=state, state_version="v2")
            table.apply_order(known, 1.1)
            expected = "v2" if state is RolloutState.RUNNING else None
            assert table.ordered_version(POOL) == expected


def _advance(table, start, seconds, *, step=0.25):
    """Call `advance` as the coordinator does; return the time after it."""
    for number in range(round(seconds / step)):
        table.advance(start + (number + 1) * step)
    return start + seconds


class TestVersionsWithoutOrder:
    """Guards against a pool with ready targets of which no version is current."""

    def test_all_serve_where_rollouts_are_not_ordered(self):
        table = PoolVersionTable(orders_rollouts=False)
        table.update_targets(_targets("v1"), 0.0)
        assert table.update_targets(_targets("v1", "v2"), 1.0)
        assert table.serving_versions(POOL) == {"v1", "v2"}
        assert table.serving_versions(POOL, ["v3"]) == {"v1", "v2", "v3"}
        assert table.barred_versions(POOL) == frozenset()

    def test_a_peers_record_bars_none_of_them(self):
        one = PoolVersionTable()
        one.update_targets(_targets("v1"), 0.0)
        other = PoolVersionTable(orders_rollouts=False)
        other.update_targets(_targets("v1", "v2"), 1.0)
        other.merge_record(_round_trip(one.records(2.0, [POOL])[0]), 2.0)
        assert other.serving_versions(POOL) == {"v1", "v2"}

    def test_an_order_bars_its_version_also_there(self):
        table = PoolVersionTable(orders_rollouts=False)
        table.update_targets(_targets("v1", "v2", "v3"), 0.0)
        table.apply_order(_order("v3"), 1.0)
        assert table.serving_versions(POOL) == {"v1", "v2"}
        table.withdraw_order(POOL, 6)
        table.update_targets(_targets("v1", "v2", "v3"), 2.0)
        assert table.serving_versions(POOL) == {"v1", "v2"}

    def test_all_beside_an_order_serve_there_after_a_restart(self):
        table = PoolVersionTable(orders_rollouts=False)
        table.apply_order(_order("v3"), 0.0)
        table.update_targets(_targets("v1", "v2", "v3"), 1.0)
        assert table.serving_versions(POOL) == {"v1", "v2"}

    def test_one_of_several_is_current_within_two_seconds(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1", "v2"), 0.0, is_complete=False)
        _advance(table, 0.0, 2.0)
        assert table.serving_versions(POOL) == {"v1"}
        assert table[POOL].source is VersionSource.GUESS

    def test_the_only_one_of_some_targets_need_not_be_the_only_one(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v2"), 0.0, is_complete=False)
        assert table.serving_versions(POOL) == frozenset()
        table.update_targets(_targets("v1", "v2"), 1.0)
        _advance(table, 1.0, 2.0)
        assert table.serving_versions(POOL) == {"v1"}

    def test_one_with_a_ready_target_is_guessed(self):
        table = PoolVersionTable()
        leaving, ready = _targets("v1", "v2")
        leaving = dataclasses.replace(leaving, leaving=True)
        table.update_targets([leaving, ready], 0.0)
        table.guess_serving(POOL, 0.0)
        assert table.serving_versions(POOL) == {"v2"}

    @pytest.mark.parametrize("last", ["gone", "leaving"])
    def test_others_replace_one_without_ready_targets(self, last):
        table = PoolVersionTable()
        table.update_targets(_targets("v1"), 0.0)
        old, new = _targets("v1", "v2")
        left = [dataclasses.replace(old, leaving=True)] if last == "leaving" else []
        table.update_targets([*left, new], 1.0)
        assert table.is_unserved(POOL)
        _advance(table, 1.0, 1.5)
        assert table.serving_versions(POOL) == {"v1"}
        _advance(table, 2.5, 0.5)
        assert table.serving_versions(POOL) == {"v2"}
        assert not table.is_unserved(POOL)

    def test_one_that_is_ready_again_in_time_stays_current(self):
        table = PoolVersionTable()
        old, new = _targets("v1", "v2")
        table.update_targets([old], 0.0)
        table.update_targets([new], 1.0)
        now = _advance(table, 1.0, 1.5)
        table.update_targets([old, new], now)
        _advance(table, now, 4.0)
        assert table.serving_versions(POOL) == {"v1"}

    def test_none_is_replaced_while_an_order_runs(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1"), 0.0)
        table.apply_order(_order(state=RolloutState.RUNNING, state_version="v2"), 0.5)
        table.update_targets(_targets("v1", "v2")[1:], 1.0)
        _advance(table, 1.0, 4.0)
        assert table.serving_versions(POOL) == {"v1"}

    def test_one_that_was_rolled_back_replaces_none(self):
        table = PoolVersionTable()
        table.update_targets(_targets("v1", "v2"), 0.0)
        rolled_back = _order(state=RolloutState.ROLLED_BACK, state_version="v2")
        table.apply_order(rolled_back, 0.5)
        _old, bad, third = _targets("v1", "v2", "v3")
        table.update_targets([bad], 1.0)
        now = _advance(table, 1.0, 4.0)
        assert table.is_unserved(POOL)
        table.update_targets([bad, third], now)
        _advance(table, now, 0.25)
        assert table.serving_versions(POOL) == {"v3"}

    def test_a_late_record_of_a_replaced_one_changes_nothing(self):
        one, other = PoolVersionTable(), PoolVersionTable()
        for table in (one, other):
            table.update_targets(_targets("v1"), 0.0)
            table.update_targets(_targets("v1", "v2")[1:], 1.0)
        late = _round_trip(other.records(1.0, [POOL])[0])
        now = _advance(one, 1.0, 2.0)
        assert not one.merge_record(late, now)
        assert other.merge_record(_round_trip(one.records(now, [POOL])[0]), now) is (
            False
        )
        _advance(other, 1.0, 2.0)
        assert one.serving_versions(POOL) == other.serving_versions(POOL) == {"v2"}

    def test_instances_that_took_different_ones_at_once_agree(self):
        """Each was the younger one for the other, so both kept their own."""
        one, other = PoolVersionTable(), PoolVersionTable()
        one.update_targets(_targets("v1"), 5.0)
        other.update_targets(_targets("v2"), 5.0)
        for table in (one, other):
            table.update_targets(_targets("v1", "v2"), 6.0)
        records = [_round_trip(table.records(9.0)[0]) for table in (one, other)]
        other.merge_record(records[0], 9.1)
        one.merge_record(records[1], 9.1)
        assert one.serving_versions(POOL) == other.serving_versions(POOL)


class TestStoredVersions:
    """Guards against a peer that takes a record for all that began streams."""

    def _begun_after_merge(self, *, is_complete):
        sender, receiver = PoolVersionTable(0.0), PoolVersionTable(0.0)
        stored = StoredVersions(frozenset({"v1"}), 7, is_complete)
        sender["p"].begun.apply_stored(stored, 1.0)
        (record,) = sender.records(1.0)
        receiver.merge_record(_round_trip(record), 1.0)
        return receiver["p"].begun

    def test_complete_ones_are_merged(self):
        begun = self._begun_after_merge(is_complete=True)
        assert begun.origins(1.0) == {"v1"}
        assert begun.stored == StoredVersions(frozenset({"v1"}), 7, True)

    def test_incomplete_ones_are_not_merged(self):
        begun = self._begun_after_merge(is_complete=False)
        assert begun.origins(1.0) == {UNKNOWN_VERSION}

    def test_incomplete_ones_are_no_evidence_on_the_first_start(self):
        """Guards against a malformed record that is read as no earlier streams.

        An instance may start for the first time beside or after others.
        """
        table = PoolVersionTable(0.0)
        table.assume_no_earlier_streams(["p"], 1.0)
        table["p"].begun.apply_stored(StoredVersions(revision=9), 1.0)
        assert table["p"].begun.origins(1.0) == {UNKNOWN_VERSION}
        assert table["q"].begun.origins(1.0) == frozenset()


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


class CurrentVersionMachine(RuleBasedStateMachine):
    """Instances with a table each, whose targets change without orders or with them.

    Targets appear, leave and end; instances hear of some or of all of them, restart
    without state, and receive records late, repeatedly or never.
    """

    INSTANCES = 3
    TICK_S = 0.25
    SETTLE_S = 2.0
    VERSIONS = st.sampled_from(["v1", "v2", "v3"])
    INSTANCE = st.integers(0, INSTANCES - 1)

    @initialize(
        orders_rollouts=st.booleans(),
        first=st.lists(
            st.sampled_from(["", "v1", "v2"]), min_size=INSTANCES, max_size=INSTANCES
        ),
    )
    def start(self, orders_rollouts, first):
        """Let instances have known different versions before they all see two."""
        self.now = 0.0
        self.orders_rollouts = orders_rollouts
        self.numbers = itertools.count()
        self.targets = {}
        self.revision, self.order = 0, None
        self.in_flight = []
        self.tables = [self._new_table() for _ in range(self.INSTANCES)]
        for version in ("v1", "v2"):
            self.add_target(version, 0)
        for table, version in zip(self.tables, first, strict=True):
            known = [t for t in self.targets.values() if t.version == version]
            table.update_targets(known, self.now)

    def _new_table(self):
        return PoolVersionTable(orders_rollouts=self.orders_rollouts)

    @rule(version=VERSIONS, started=st.integers(0, 3))
    def add_target(self, version, started):
        name = f"t{next(self.numbers)}"
        self.targets[name] = DiscoveredTarget(
            name, POOL, "a:1", "z", 4, False, 1, started, version
        )

    @precondition(lambda self: self.targets)
    @rule(data=st.data())
    def change_target(self, data):
        name = data.draw(st.sampled_from(sorted(self.targets)))
        if self.targets[name].leaving:
            del self.targets[name]
        else:
            leaving = dataclasses.replace(self.targets[name], leaving=True)
            self.targets[name] = leaving

    @rule(at=INSTANCE)
    def read_targets(self, at):
        self.tables[at].update_targets(self.targets.values(), self.now)

    @rule(at=INSTANCE, count=st.integers(1, 3))
    def hear_targets(self, at, count):
        some = list(self.targets.values())[:count]
        self.tables[at].update_targets(some, self.now, is_complete=False)

    @rule(at=INSTANCE)
    def restart(self, at):
        self.tables[at] = self._new_table()

    @rule(seconds=st.sampled_from([0.25, 1.0, 1.75]))
    def wait(self, seconds):
        for _ in range(round(seconds / self.TICK_S)):
            self._tick()

    def _tick(self):
        self.now += self.TICK_S
        for table in self.tables:
            changed = table.advance(self.now)
            if changed:
                self.in_flight += table.records(self.now, changed)

    @rule(at=INSTANCE)
    def send_records(self, at):
        self.in_flight += map(_round_trip, self.tables[at].records(self.now))

    @precondition(lambda self: self.in_flight)
    @rule(at=INSTANCE, which=st.integers(0, 100))
    def receive_record(self, at, which):
        record = self.in_flight[which % len(self.in_flight)]
        self.tables[at].merge_record(record, self.now)

    @rule(version=VERSIONS, state=st.sampled_from([None, *RolloutState]))
    def write_order(self, version, state):
        self.revision += 1
        self.order = _order(version, self.revision, state, version if state else "")

    @precondition(lambda self: self.order)
    @rule()
    def withdraw_order(self):
        self.revision += 1
        self.order = None

    @rule(at=INSTANCE)
    def read_order(self, at):
        if self.order:
            self.tables[at].apply_order(self.order, self.now)
        elif self.revision:
            self.tables[at].withdraw_order(POOL, self.revision)

    def _exchange(self):
        """Let all send their records at the same moment, twice."""
        for _ in range(2):
            sent = [
                _round_trip(record)
                for table in self.tables
                for record in table.records(self.now)
            ]
            for table in self.tables:
                for record in sent:
                    table.merge_record(record, self.now)

    @rule()
    def settle(self):
        """All agree on versions with ready targets, if any may serve."""
        for at in range(self.INSTANCES):
            self.read_targets(at)
            self.read_order(at)
        self._exchange()
        for _ in range(round(self.SETTLE_S / self.TICK_S)):
            self._tick()
            self._exchange()
        (serving,) = {table.serving_versions(POOL) for table in self.tables}
        versions = {t.version for t in self.targets.values()}
        if not versions:
            return
        assert serving != NO_VERSIONS
        ready = {t.version for t in self.targets.values() if not t.leaving}
        entry = self.tables[0][POOL]
        rejected = {self.tables[0].rejected_version(POOL)}
        if ready - rejected and not entry.is_running:
            assert serving & ready
        if not self.orders_rollouts and not entry.has_had_order:
            assert serving == versions


TestCurrentVersionMachine = CurrentVersionMachine.TestCase
TestCurrentVersionMachine.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None
)


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
