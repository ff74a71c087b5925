"""hibiscusstep.forwarding.rollout_book: what instances know of orders and agree on."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hibiscusstep import codec
from hibiscusstep.forwarding.kept_rollouts import (
    KeptRollout,
    from_document,
    to_document,
)
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.rollout_book import RolloutBook
from hibiscusstep.peer import RolloutRecord
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.rollout.controller import RolloutProgress
from hibiscusstep.rollout.order import RolloutOrder, RolloutState

POOL = "p"
LIMITS = ExposureLimits()
_KEPT = to_document(KeptRollout("v2", 1.0, RolloutProgress()))


def _targets(*versions):
    return [
        DiscoveredTarget(f"t{n}", POOL, "a:1", "z", 4, False, 1, 1 + n, version)
        for n, version in enumerate(versions)
    ]


def _order(version="v2", revision=5, state=None, of="", duration=10.0):
    return RolloutOrder(POOL, version, duration, revision, state, of)


def _told(record):
    return codec.decode(RolloutRecord, codec.encode(record))


class TestServing:
    def test_the_only_version_is_in_force(self):
        book = RolloutBook()
        book.take_targets(_targets("v1", "v1"), 0.0)
        assert book.serving(POOL) == {"v1"}

    def test_one_that_comes_later_is_not(self):
        book = RolloutBook()
        book.take_targets(_targets("v1"), 0.0)
        book.take_targets(_targets("v1", "v2", "v2"), 1.0)
        assert book.serving(POOL) == {"v1"}
        assert book.barred(POOL) == {"v2"}

    def test_of_several_none_serves_before_it_is_known(self):
        book = RolloutBook()
        book.take_targets(_targets("v1", "v2"), 0.0)
        assert book.ambiguous() == [POOL]
        assert "v1" not in book.serving(POOL)
        assert book.serving(POOL)

    def test_an_order_tells_it(self):
        book = RolloutBook()
        book.take_targets(_targets("v1", "v2"), 0.0)
        book.take_order(_order(), 0.0)
        assert book.serving(POOL) == {"v1"}

    def test_a_completed_order_tells_it(self):
        book = RolloutBook()
        book.take_targets(_targets("v1", "v2"), 0.0)
        book.take_order(_order(state=RolloutState.COMPLETED, of="v2"), 0.0)
        assert book.serving(POOL) == {"v2"}
        assert book.planned(POOL, LIMITS, 0.3) is None

    def test_the_one_that_has_been_there_for_longest_is_guessed(self):
        book = RolloutBook()
        book.take_targets(_targets("v1", "v2", "v2"), 0.0)
        book.guess(POOL, 0.0)
        assert book.serving(POOL) == {"v1"}

    def test_a_peer_that_has_known_it_for_longer_is_right(self):
        older, younger = RolloutBook(), RolloutBook()
        older.take_targets(_targets("v1"), 0.0)
        older.take_targets(_targets("v1", "v2"), 50.0)
        younger.take_targets(_targets("v2"), 49.0)
        (record,) = older.records(60.0)
        assert younger.take_record(_told(record), 60.0)
        assert younger.serving(POOL) == {"v1"}


class TestOrders:
    def test_a_status_of_it_does_not_begin_it_again(self):
        book = RolloutBook()
        book.take_order(_order(), 1.0)
        book.note_progress(POOL, 5, RolloutProgress(10, 2, 1))
        book.take_order(_order(revision=6, state=RolloutState.RUNNING, of="v2"), 3.0)
        assert (book[POOL].number, book[POOL].began) == (5, 1.0)
        assert book[POOL].progress.requests == 10
        assert book[POOL].wanted_state is None

    def test_nothing_is_carried_out_before_the_store_tells_that_it_runs(self):
        """Who starts after a restart of all would take it for new."""
        book = RolloutBook()
        book.take_targets(_targets("v1"), 0.0)
        book.take_order(_order(), 1.0)
        assert book.planned(POOL, LIMITS, 0.3) is None
        book.take_order(_order(revision=6, state=RolloutState.RUNNING, of="v2"), 1.1)
        assert book.planned(POOL, LIMITS, 0.3).version == "v2"

    def test_one_that_was_begun_goes_on_where_a_restored_store_lost_that(self):
        book = RolloutBook()
        book.take_order(_order(revision=6, state=RolloutState.RUNNING, of="v2"), 1.0)
        book.take_order(_order(revision=100), 2.0)
        assert book.planned(POOL, LIMITS, 0.3) is not None

    def test_its_removal_may_bear_its_last_revision(self):
        one, other = RolloutBook(), RolloutBook()
        for book in (one, other):
            book.take_order(_order(state=RolloutState.RUNNING, of="v2"), 1.0)
        assert one.withdraw(POOL, 5)
        assert not one.withdraw(POOL, 5)
        other.take_record(_told(one.records(2.0)[0]), 2.0)
        assert not one.running
        assert not other.running

    def test_a_late_word_of_a_removal_withdraws_no_newer_order(self):
        book = RolloutBook()
        book.take_order(_order(revision=9), 1.0)
        assert not book.withdraw(POOL, 5)
        assert book.running == [POOL]

    def test_one_that_replaces_it_begins_anew(self):
        book = RolloutBook()
        book.take_order(_order(), 1.0)
        book.conclude(POOL, 5, RolloutState.ROLLED_BACK)
        replaced = _order("v3", 7, RolloutState.ROLLED_BACK, "v2")
        book.take_order(replaced, 9.0)
        assert book[POOL].is_running
        assert book[POOL].wanted_state is RolloutState.RUNNING

    def test_the_same_version_ordered_again_begins_anew(self):
        book = RolloutBook()
        book.take_order(_order(state=RolloutState.ROLLED_BACK, of="v2"), 1.0)
        again = _order("v2", 7, RolloutState.ROLLED_BACK, "v2", duration=20.0)
        book.take_order(again, 9.0)
        assert book[POOL].is_running
        (record,) = book.records(10.0)
        book.take_record(_told(record), 10.0)
        assert book[POOL].is_running
        assert book[POOL].wanted_state is RolloutState.RUNNING

    def test_who_sees_it_running_first_does_not_know_what_was_used(self):
        book = RolloutBook()
        book.take_order(_order(state=RolloutState.RUNNING, of="v2"), 1.0)
        assert not book[POOL].progress.is_known
        book.resume(POOL, 5, 4.0, RolloutProgress(100, 9, 3), 2.0)
        planned = book.planned(POOL, LIMITS, 0.3)
        assert planned.progress.exposed == 9
        assert planned.deadline == 2.0 - 4.0 + 10.0

    def test_a_peers_progress_is_taken(self):
        one, other = RolloutBook(), RolloutBook()
        for book in (one, other):
            book.take_order(_order(), 1.0)
        one.note_progress(POOL, 5, RolloutProgress(200, 20, 15))
        (record,) = one.records(4.0)
        other.take_record(_told(record), 4.0)
        assert other[POOL].progress.exposed == 20

    def test_who_saw_only_its_status_keeps_the_progress(self):
        one, other = RolloutBook(), RolloutBook()
        one.take_order(_order(), 1.0)
        one.note_progress(POOL, 5, RolloutProgress(200, 20, 15))
        running = _order(revision=6, state=RolloutState.RUNNING, of="v2")
        one.take_order(running, 2.0)
        other.take_order(running, 2.0)
        other.take_record(_told(one.records(3.0)[0]), 3.0)
        one.take_record(_told(other.records(3.0)[0]), 3.0)
        assert one[POOL].progress.exposed == other[POOL].progress.exposed == 20
        assert one[POOL].number == other[POOL].number == 5

    def test_what_was_written_first_stands(self):
        book = RolloutBook()
        book.take_order(_order(), 1.0)
        book.conclude(POOL, 5, RolloutState.COMPLETED)
        book.take_order(
            _order(revision=6, state=RolloutState.ROLLED_BACK, of="v2"), 2.0
        )
        assert book[POOL].is_rejected
        assert book[POOL].wanted_state is None

    def test_a_completion_that_a_restored_store_lost_is_written_again(self):
        book = RolloutBook()
        book.take_order(_order(), 1.0)
        done = _order(revision=6, state=RolloutState.COMPLETED, of="v2")
        book.take_order(done, 2.0)
        book.take_order(_order(revision=100), 3.0)
        assert book[POOL].wanted_state is RolloutState.COMPLETED
        assert book.serving(POOL) == {"v2"}

    def test_without_several_versions_or_an_order_nothing_is_told(self):
        book = RolloutBook()
        book.take_targets(_targets("v1", "v1"), 0.0)
        assert book.records(1.0) == []


class TestKeptDocument:
    def test_what_is_written_is_read(self):
        kept = KeptRollout("v2", 1000.5, RolloutProgress(9, 3, 2, evidence=0.25))
        assert from_document(POOL, to_document(kept)) == kept

    @pytest.mark.parametrize(
        "document",
        [{}, [], "text", {"version": "v2"}, {**_KEPT, "requests": "many"}],
    )
    def test_a_malformed_one_is_ignored_with_a_reason(self, document, caplog):
        assert from_document(POOL, document) is None
        assert "kept rollout ignored" in caplog.text

    def test_none_is_none(self):
        assert from_document(POOL, None) is None


class OrderLife(RuleBasedStateMachine):
    """Instances with a book each, one of which dispatches; the store's word is one.

    Orders come and are withdrawn, statuses are written on the store's revision,
    instances restart with nothing, are cut off, and hear of each other late.
    """

    INSTANCES = 3
    TARGETS = _targets("v1", "v1", "v2", "v3")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.revisions = itertools.count(1)
        self.store = None
        self.revision = 0
        self.in_force = "v1"
        self.books = [self._book() for _ in range(self.INSTANCES)]
        self.way = []
        # Orders that were rejected, by the revision of their latest specification.
        self.rejected = set()
        self.spec = 0

    def _book(self):
        book = RolloutBook()
        book.take_targets(self.TARGETS[:2], self.now)
        book.take_targets(self.TARGETS, self.now)
        return book

    def _write(self, order):
        self.revision = next(self.revisions)
        self.store = order and RolloutOrder(
            POOL, order.version, order.duration, self.revision, order.state,
            order.state_version,
        )  # fmt: skip

    @rule(version=st.sampled_from(["v2", "v3"]), duration=st.sampled_from([5.0, 9.0]))
    def order(self, version, duration):
        known = self.store
        if known and (known.version, known.duration) == (version, duration):
            return
        state, of = (known.state, known.state_version) if known else (None, "")
        self._write(RolloutOrder(POOL, version, duration, 0, state, of))
        self.spec = self.revision

    @rule()
    def withdraw(self):
        if self.store:
            self._write(None)

    @rule(at=st.integers(0, 2))
    def see(self, at):
        self.now += 0.1
        if self.store:
            self.books[at].take_order(self.store, self.now)
        elif self.revision:
            self.books[at].withdraw(POOL, self.revision)

    @rule(at=st.integers(0, 2), state=st.sampled_from(list(RolloutState)))
    def conclude(self, at, state):
        """An instance that dispatches ends its order, and writes it on a condition."""
        known = self.books[at][POOL]
        if not known.is_running or state is RolloutState.RUNNING:
            return
        self.books[at].conclude(POOL, known.number, state)

    @rule(at=st.integers(0, 2))
    def write(self, at):
        known = self.books[at][POOL]
        wanted = known.wanted_state
        if wanted is None or self.store is None:
            return
        if known.order.revision != self.store.revision:
            return
        order = known.order
        self._write(
            RolloutOrder(POOL, order.version, order.duration, 0, wanted, order.version)
        )
        if wanted is RolloutState.ROLLED_BACK:
            self.rejected.add(self.spec)
        if wanted is RolloutState.COMPLETED:
            self.in_force = order.version
        self.books[at].take_order(self.store, self.now)

    @rule(at=st.integers(0, 2))
    def tell(self, at):
        self.way += [_told(record) for record in self.books[at].records(self.now)]

    @rule(at=st.integers(0, 2), which=st.integers(0, 100))
    def hear(self, at, which):
        self.now += 0.01
        if self.way:
            self.books[at].take_record(self.way[which % len(self.way)], self.now)

    @rule(at=st.integers(0, 2))
    def restart(self, at):
        """It knows the store's order, as it must before it dispatches."""
        self.books[at] = RolloutBook()
        self.books[at].take_targets(self.TARGETS, self.now)
        if self.store:
            self.books[at].take_order(self.store, self.now)
        for record in self.way[-2:]:
            self.books[at].take_record(record, self.now)

    @invariant()
    def who_knows_the_stores_word_does_not_carry_out_what_was_rejected(self):
        if self.spec not in self.rejected or self.store is None:
            return
        for book in self.books:
            if book[POOL].revision >= self.store.revision:
                assert book.planned(POOL, LIMITS, 0.3) is None

    @invariant()
    def one_order_ends_in_one_way(self):
        if self.store and self.spec in self.rejected:
            assert not self.store.is_completed


TestOrderLife = OrderLife.TestCase
TestOrderLife.settings = settings(max_examples=150, stateful_step_count=40)
