"""hibiscusstep.forwarding.patience: who comes back, told by what patience is left."""

from hibiscusstep.forwarding.patience import FORGET_AFTER, UsualPatience


class TestCallersAlike:
    """All callers of a route wait as long when they come first."""

    def _known(self):
        usual = UsualPatience()
        for _ in range(20):
            assert usual.spent("r", 15.0) == 0
        return usual

    def test_who_has_less_patience_came_back(self):
        assert self._known().spent("r", 12.4) == 2.6

    def test_most_may_come_back(self):
        usual = self._known()
        for n in range(60):
            assert usual.spent("r", 13.0 - 0.02 * n) > 1.9
            if n % 3 == 0:
                usual.spent("r", 15.0)

    def test_routes_are_told_apart(self):
        assert self._known().spent("other", 3.0) == 0

    def test_a_longer_patience_is_no_debt(self):
        assert self._known().spent("r", 20.0) == 0

    def test_a_change_is_noticed(self):
        usual = self._known()
        for _ in range(3 * FORGET_AFTER):
            usual.spent("r", 5.0)
        assert usual.spent("r", 5.0) == 0


class TestCallersUnlike:
    def test_nobody_counts_as_come_back(self):
        usual = UsualPatience()
        assert not any(usual.spent("r", 1.0 + n % 50) for n in range(400))

    def test_nor_without_a_patience(self):
        usual = UsualPatience()
        assert not any(usual.spent("r", None) for _ in range(40))
