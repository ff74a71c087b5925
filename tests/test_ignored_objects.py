"""Objects of the store that are left out: what is remembered and logged of them."""

import logging

from hibiscusstep.forwarding import ignored_objects
from hibiscusstep.forwarding.ignored_objects import IgnoredRevisions
from hibiscusstep.platform.stored_objects import MAX_LOGGED_LENGTH, IgnoredObjects


class TestBounds:
    """Guards against memory and log lines that grow with what another writer leaves."""

    def test_the_number_of_remembered_objects_is_bounded(self, monkeypatch):
        monkeypatch.setattr(ignored_objects, "MAX_OBJECTS", 10)
        revisions = IgnoredRevisions()
        assert all(revisions.record(f"n{number}", 1) for number in range(100))
        assert revisions.count == 100
        assert len(revisions._revisions) == 10
        assert not revisions.record("n99", 1)

    def test_the_line_of_a_long_name_and_reason_is_short(self, caplog):
        caplog.set_level(logging.ERROR)
        item = {"Metadata": {"Name": "n" * 100_000, "Revision": 5}}
        IgnoredObjects("servers").record(item, 0, 1, 9, ValueError("r" * 100_000))
        (line,) = caplog.records
        assert line.object == "n" * MAX_LOGGED_LENGTH
        assert len(line.error) == MAX_LOGGED_LENGTH
