"""Objects of the store that are left out: what is remembered and logged of them."""

from hibiscusstep.forwarding import ignored_objects
from hibiscusstep.forwarding.ignored_objects import IgnoredRevisions


class TestBounds:
    """Guards against memory that grows with what another writer leaves."""

    def test_the_number_of_remembered_objects_is_bounded(self, monkeypatch):
        monkeypatch.setattr(ignored_objects, "MAX_OBJECTS", 10)
        revisions = IgnoredRevisions()
        assert all(revisions.record(f"n{number}", 1) for number in range(100))
        assert revisions.count == 100
        assert len(revisions._revisions) == 10
        assert not revisions.record("n99", 1)
