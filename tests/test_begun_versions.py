"""hibiscusstep.forwarding.begun_versions and hibiscusstep.routing.stream_versions."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hibiscusstep.forwarding.begun_versions import (
    RECORD_TIMEOUT_S,
    UNKNOWN_VERSION,
    BegunVersions,
)
from hibiscusstep.routing import stream_versions
from hibiscusstep.routing.stream_versions import STREAM_LIFETIME_S, StreamVersions
from hibiscusstep.store import StoredVersions

START = 100.0


def _stored(*versions, revision=1, is_complete=True):
    return StoredVersions(frozenset(versions), revision, is_complete)


def _begun(*stored, **fields):
    """Return the state of an instance that has just read what is stored."""
    begun = BegunVersions(START)
    begun.apply_stored(_stored(*stored, **fields), START)
    return begun


class TestBegunVersions:
    def test_a_stored_version_may_begin_streams(self):
        begun = _begun("v1")
        begun.update({"v1"}, START)
        assert begun.allowed({"v1"}, START) == {"v1"}
        assert begun.origins(START) == {"v1"}
        assert begun.to_store(START) is None

    def test_another_version_waits_for_its_record(self):
        begun = _begun("v1")
        begun.update({"v1", "v2"}, START)
        assert begun.allowed(frozenset({"v1", "v2"}), START) == {"v1"}
        assert begun.origins(START) == {"v1", "v2"}
        assert begun.to_store(START) == {"v1", "v2"}
        assert begun.is_write_urgent
        begun.apply_stored(_stored("v1", "v2", revision=2), START)
        begun.update({"v1", "v2"}, START)
        assert begun.origins(START) == {"v1", "v2"}
        assert begun.to_store(START) is None

    def test_the_only_version_serves_after_a_time_without_its_record(self):
        """Guards against a pool that is dark for as long as the store is away."""
        begun = _begun("v1")
        begun.update({"v2"}, START)
        assert begun.allowed(frozenset({"v2"}), START) == frozenset()
        later = START + RECORD_TIMEOUT_S
        assert begun.update({"v2"}, later)
        assert begun.allowed(frozenset({"v2"}), later) == {"v2"}
        assert begun.origins(later) == {"v1", "v2"}

    def test_a_replaced_version_is_removed_after_a_stream_s_lifetime(self):
        begun = _begun("v1", "v2")
        begun.update({"v1", "v2"}, START)
        begun.update({"v2"}, START + 5)
        later = START + 5 + STREAM_LIFETIME_S
        assert begun.origins(later - 1) == {"v1", "v2"}
        assert begun.to_store(later - 1) is None
        assert begun.update({"v2"}, later)
        assert begun.origins(later) == {"v2"}
        assert begun.to_store(later) == {"v2"}
        assert not begun.is_write_urgent

    def test_versions_of_before_the_start_count_for_a_stream_s_lifetime(self):
        """Guards against streams joined after a restart of all instances."""
        begun = _begun("v1")
        begun.apply_stored(_stored("v1", "v2", revision=2), START + 1)
        begun.update({"v2"}, START + 1)
        assert begun.origins(START + STREAM_LIFETIME_S - 1) == {"v1", "v2"}
        assert begun.origins(START + 1 + STREAM_LIFETIME_S) == {"v2"}

    def test_an_absent_record_is_no_evidence(self):
        """Guards against a missing record that is read as no earlier streams."""
        begun = BegunVersions(START)
        begun.update({"v2"}, START)
        assert begun.origins(START) == {UNKNOWN_VERSION, "v2"}
        assert begun.to_store(START) == {UNKNOWN_VERSION, "v2"}
        begun.update({"v2"}, START + STREAM_LIFETIME_S)
        assert begun.origins(START + STREAM_LIFETIME_S) == {"v2"}

    def test_writes_do_not_prolong_what_is_unknown(self):
        """Guards against streams refused for longer than a stream's lifetime."""
        begun = BegunVersions(START)
        begun.update({"v2"}, START)
        for revision in (1, 2):
            later = START + 10 * revision
            versions = begun.to_store(later)
            begun.apply_stored(_stored(*versions, revision=revision), later)
            begun.update({"v2", f"w{revision}"}, later)
        assert UNKNOWN_VERSION not in begun.origins(START + STREAM_LIFETIME_S)

    def test_a_record_that_may_be_older_than_the_streams_is_no_evidence(self):
        begun = _begun("v1", is_complete=False)
        begun.update({"v1"}, START)
        assert begun.origins(START) == {UNKNOWN_VERSION, "v1"}
        assert begun.is_write_urgent

    def test_on_the_first_start_there_are_no_earlier_streams(self):
        begun = BegunVersions(START)
        begun.apply_stored(StoredVersions(is_complete=True), START)
        begun.update({"v1"}, START)
        assert begun.origins(START) == {"v1"}
        assert begun.to_store(START) == {"v1"}

    def test_an_older_record_of_a_peer_is_ignored(self):
        begun = _begun("v1", "v2", revision=5)
        assert not begun.apply_stored(_stored("v1", revision=4), START)
        assert begun.stored.versions == {"v1", "v2"}

    def test_a_record_that_may_be_lost_is_written_again(self):
        begun = _begun("v1")
        begun.update({"v1"}, START)
        begun.mark_lost()
        assert begun.to_store(START) == {"v1"}
        begun.apply_stored(_stored("v1", revision=2), START)
        assert begun.to_store(START) is None

    def test_a_version_that_comes_back_is_not_known_to_be_stored(self):
        """Guards against a version that begins streams while its removal is written.

        The answer to the write may be lost, or the write be that of another instance.
        """
        begun = _begun("v1", "v2")
        begun.update({"v1", "v2"}, START)
        begun.update({"v2"}, START)
        later = START + STREAM_LIFETIME_S
        begun.update({"v2"}, later)
        assert begun.to_store(later) == {"v2"}
        begun.update({"v1", "v2"}, later + 1)
        assert begun.allowed(frozenset({"v1", "v2"}), later + 1) == {"v2"}
        assert begun.origins(later + 1) == {"v1", "v2"}
        assert begun.is_write_urgent
        assert begun.to_store(later + 1) == {"v1", "v2"}
        begun.apply_stored(_stored("v2", revision=2), later + 2)
        begun.apply_stored(_stored("v1", "v2", revision=3), later + 2)
        begun.update({"v1", "v2"}, later + 2)
        assert begun.origins(later + 2) == {"v1", "v2"}
        assert begun.to_store(later + 2) is None

    def test_one_that_serves_goes_on_after_a_restore_of_the_store(self):
        """Guards against a pool that is dark while its lost record is written again."""
        begun = _begun("v1")
        begun.apply_stored(_stored("v2", revision=2), START)
        begun.update({"v2"}, START)
        begun.mark_lost()
        restored = _stored("v1", revision=10, is_complete=False)
        begun.apply_stored(restored, START + 60)
        begun.update({"v2"}, START + 60)
        assert begun.allowed(frozenset({"v2"}), START + 60) == {"v2"}
        assert begun.allowed(frozenset({"v2", "v3"}), START + 60) == {"v2"}
        assert begun.to_store(START + 60) == {"v1", "v2"}
        assert begun.is_write_urgent

    def test_one_that_waits_may_have_begun_streams_at_another_instance(self):
        """Guards against a missing message that is read as no record.

        Another instance stored the version and began its streams. It ended before it
        told, or is partitioned, and the store does not answer here.
        """
        own, other = _begun("v1"), _begun("v1")
        for begun in (own, other):
            begun.update({"v1", "v2"}, START)
        other.apply_stored(_stored("v1", "v2", revision=2), START)
        other.update({"v1", "v2"}, START)
        assert "v2" in other.allowed(frozenset({"v1", "v2"}), START)
        assert own.origins(START) != {"v1"}


class Restarts(RuleBasedStateMachine):
    """Instances that end together at any moment, and a store that may not answer.

    Streams are joined if one of a version counts as of another only version.
    """

    def __init__(self):
        super().__init__()
        self.now = START
        self.revisions = itertools.count(1)
        self.in_store = StoredVersions()
        # By version, when its last stream began.
        self.began = {}
        self.present = frozenset({"v1"})
        self.unrecorded_until = -STREAM_LIFETIME_S
        self.instance = BegunVersions(START)
        self.instance.apply_stored(StoredVersions(is_complete=True), START)
        self._serve()

    def _serve(self):
        self.instance.update(self.present, self.now)
        for version in self.instance.allowed(self.present, self.now):
            self.began[version] = self.now
            # One that counts as stored must be; others serve once the store is overdue.
            if version not in self.instance.stored.versions:
                self.unrecorded_until = self.now + STREAM_LIFETIME_S

    @rule(seconds=st.sampled_from([0.1, 0.5, 5.0, 29.0, 31.0]))
    def time_passes(self, seconds):
        self.now += seconds
        self._serve()

    @rule(present=st.sets(st.sampled_from(["v1", "v2", "v3"]), min_size=1))
    def targets_change(self, present):
        self.present = frozenset(present)
        self._serve()

    @precondition(lambda self: self.instance.to_store(self.now) is not None)
    @rule(is_answered=st.booleans())
    def store_is_written(self, is_answered):
        """The write takes effect; its answer may be lost."""
        if self.instance.stored.revision not in (0, self.in_store.revision):
            self.instance.apply_stored(self.in_store, self.now)
            return
        versions = self.instance.to_store(self.now)
        self.in_store = StoredVersions(versions, next(self.revisions), True)
        if is_answered:
            self.instance.apply_stored(self.in_store, self.now)
        self._serve()

    @rule(is_read=st.booleans())
    def all_instances_restart(self, is_read):
        self.instance = BegunVersions(self.now)
        if is_read and self.in_store.revision:
            self.instance.apply_stored(self.in_store, self.now)
        self._serve()

    @invariant()
    def no_stream_counts_as_one_of_another_version(self):
        if self.now < self.unrecorded_until:
            return
        origins = self.instance.origins(self.now)
        recent = {
            version
            for version, at in self.began.items()
            if at > self.now - STREAM_LIFETIME_S
        }
        is_certain = len(origins) == 1 and UNKNOWN_VERSION not in origins
        assert not is_certain or recent <= origins

    @invariant()
    def a_version_serves_within_the_timeout(self):
        later = self.now + RECORD_TIMEOUT_S
        assert self.instance.allowed(self.present, later)


TestRestarts = Restarts.TestCase


class TestStreamVersions:
    def test_the_last_version_holds(self):
        versions = StreamVersions()
        versions.record(7, "v1", 0.0)
        versions.record(7, "v2", 0.1)
        assert versions.find(7, 0.2) == "v2"
        assert versions.find(8, 0.2) is None
        assert versions.by_version() == {"v2": [7]}

    def test_no_stream_is_not_recorded(self):
        versions = StreamVersions()
        versions.record(0, "v1", 0.0)
        assert versions.find(0, 0.0) is None

    def test_entries_are_kept_while_they_are_used(self):
        versions = StreamVersions()
        versions.record(1, "v1", 0.0)
        versions.record(2, "v1", 0.0)
        for number in range(1, 6):
            now = 0.9 * STREAM_LIFETIME_S * number
            versions.record(100 + number, "v1", now)
            assert versions.find(1, now) == "v1"
        assert versions.find(2, now) is None

    @given(st.lists(st.floats(0.0, 200.0), max_size=60))
    def test_an_entry_lives_for_one_to_three_lifetimes(self, pauses):
        versions, now = StreamVersions(), 0.0
        recorded = {}
        for stream, pause in enumerate(pauses, 1):
            now += pause
            versions.record(stream, "v1", now)
            recorded[stream] = now
            young = {s for s, at in recorded.items() if now < at + STREAM_LIFETIME_S}
            kept = set(versions.by_version()["v1"])
            old = {s for s, at in recorded.items() if now > at + 3 * STREAM_LIFETIME_S}
            assert young <= kept
            assert not old & kept

    def test_their_number_is_bounded(self, monkeypatch):
        monkeypatch.setattr(stream_versions, "MAX_STREAMS", 10)
        versions = StreamVersions()
        for stream in range(1, 100):
            versions.record(stream, "v1", 0.0)
        assert len(versions) <= 20
        assert versions.find(99, 0.0) == "v1"
