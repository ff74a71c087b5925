"""hibiscusstep.forwarding.version_history and hibiscusstep.routing.stream_versions."""

import math

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.forwarding.version_history import VersionHistory
from hibiscusstep.routing import stream_versions
from hibiscusstep.routing.stream_versions import STREAM_LIFETIME_S, StreamVersions

POOL = "p"


def _observe(history, versions, now, is_changing=False):
    return history.observe(POOL, versions, now, is_changing=is_changing)


class TestVersionHistory:
    def test_one_version_is_certain(self):
        assert _observe(VersionHistory(0.0), {"v1"}, 1.0) < 1.0

    def test_several_versions_are_uncertain(self):
        assert _observe(VersionHistory(0.0), {"v1", "v2"}, 1.0) == math.inf

    def test_a_replaced_version_is_remembered_for_a_stream_s_lifetime(self):
        history = VersionHistory(0.0)
        _observe(history, {"v1"}, 1.0)
        _observe(history, set(), 2.0)
        assert _observe(history, {"v2"}, 5.0) == 2.0 + STREAM_LIFETIME_S
        assert _observe(history, {"v2"}, 40.0) < 40.0

    def test_a_version_that_returns_is_certain_again(self):
        history = VersionHistory(0.0)
        _observe(history, {"v1"}, 1.0)
        _observe(history, set(), 2.0)
        assert _observe(history, {"v1"}, 3.0) < 3.0

    def test_a_change_before_the_start_is_uncertain_for_a_while(self):
        history = VersionHistory(100.0)
        until = 100.0 + STREAM_LIFETIME_S
        assert _observe(history, {"v2"}, 101.0, is_changing=True) == until


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
