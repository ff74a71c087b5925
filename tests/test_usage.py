"""Sending, applying, forwarding and expiry of token usage."""

import pytest

from hibiscusstep.forwarding.usage import AGE_STEP_S, UsageLedger
from hibiscusstep.forwarding.window import SlidingWindow
from hibiscusstep.peer import Usage, UsageHistory, UsageScope

SPAN_S = 8.0


def _ledger(name="me", now=0.0):
    return UsageLedger(name, SPAN_S, now)


def _update(ledger, names=("c",)):
    totals = ledger.totals(UsageScope.GROUP, "", names)
    return Usage("a", UsageScope.GROUP, list(names), totals)


def _send_history(to, sender, now, scope=UsageScope.GROUP, follower=""):
    to.apply_history(sender.make_history(scope, now, follower), now)


class TestWindow:
    def test_amount_added_late_expires_in_order(self):
        window = SlidingWindow(SPAN_S)
        window.add(5, 4.0)
        window.add(7, 1.0)
        assert window.total(8.9) == 12
        assert window.total(9.0) == 5
        assert window.total(12.0) == 0

    def test_sums_by_age(self):
        window = SlidingWindow(2.0)
        for at, amount in ((0.1, 1), (0.6, 2), (1.4, 4), (1.9, 8)):
            window.add(amount, at)
        assert window.by_age(2.0, 0.5) == [8, 4, 2, 1]


class TestHistory:
    def test_usage_of_an_ended_instance_is_forwarded(self):
        ended, live = _ledger("a"), _ledger("b")
        ended.add_own("c", 70, 20.0)
        _send_history(live, ended, 20.1)
        new_instance = _ledger("d", now=22.0)
        _send_history(new_instance, live, 22.5)
        assert new_instance.others_usage("c", 22.5) == 70
        assert new_instance.knows_window(22.5)

    def test_forwarded_usage_keeps_its_age(self):
        first, new_instance = _ledger("a"), _ledger("b", now=25.0)
        first.add_own("c", 70, 20.0)
        _send_history(new_instance, first, 25.0)
        assert new_instance.others_usage("c", 27.9) == 70
        assert new_instance.others_usage("c", 28.0 + AGE_STEP_S) == 0

    def test_repeated_histories_count_once(self):
        ended, live, other = _ledger("a"), _ledger("b"), _ledger("c")
        ended.add_own("c", 70, 20.0)
        for ledger in (live, other):
            _send_history(ledger, ended, 20.1)
        new_instance = _ledger("d", now=22.0)
        for ledger in (live, other, live):
            _send_history(new_instance, ledger, 22.5)
            _send_history(ledger, new_instance, 22.6)
        assert {x.others_usage("c", 22.7) for x in (new_instance, live, other)} == {70}

    def test_update_of_an_unknown_source_needs_its_history(self):
        sender, new_instance = _ledger("a"), _ledger("b", now=20.0)
        sender.add_own("c", 70, 19.0)
        assert not new_instance.apply_update(_update(sender), 20.0)
        _send_history(new_instance, sender, 20.0)
        sender.add_own("c", 5, 20.1)
        assert new_instance.apply_update(_update(sender), 20.2)
        assert new_instance.others_usage("c", 20.2) == 75
        assert new_instance.recent_others_usage("c", 20.2) == 5

    def test_age_alone_does_not_extend_the_known_period(self):
        """Two new instances do not know more history together than each alone."""
        one, two = _ledger("a", now=20.0), _ledger("b", now=20.5)
        _send_history(two, one, 22.0)
        assert not two.knows_window(27.9)
        assert two.knows_window(28.0)

    def test_follower_receives_all_but_its_own_usage(self):
        relay, follower, other = _ledger("r"), _ledger("f"), _ledger("o")
        follower.add_own("c", 10, 20.0)
        other.add_own("c", 3, 20.0)
        relay.add_own("c", 1, 20.0)
        _send_history(relay, follower, 20.1, UsageScope.FOLLOWER)
        _send_history(relay, other, 20.1)
        _send_history(follower, relay, 20.2, UsageScope.ALL, "f")
        assert follower.others_usage("c", 20.2) == 4
        assert follower.total_usage("c", 20.2) == 14

    def test_new_relay_replaces_the_old_one(self):
        follower = _ledger("f")
        for number, amount in enumerate((30, 40)):
            relay = _ledger(f"r{number}")
            relay.add_own("c", amount, 20.0)
            _send_history(follower, relay, 20.1, UsageScope.ALL, "f")
        assert follower.others_usage("c", 20.2) == 40


class TestStoredUsage:
    _STORED = Usage("kept", UsageScope.KEPT, ["c"], [60], [20, 0, 40] + [0] * 13)

    def test_counts_from_the_start(self):
        ledger = _ledger(now=20.0)
        ledger.apply_stored(self._STORED, 20.0)
        assert ledger.knows_history(20.0) and not ledger.knows_window(20.0)
        assert ledger.listed == {"c"}
        assert [ledger.others_usage("c", t) for t in (20.0, 26.9, 27.1, 28.1)] == [
            60, 60, 20, 0,
        ]  # fmt: skip

    def test_history_of_a_live_instance_replaces_it(self):
        """The stored document includes the usage that the live instance reports."""
        live, new_instance = _ledger("a"), _ledger("b", now=20.0)
        live.add_own("c", 60, 19.0)
        new_instance.apply_stored(self._STORED, 20.0)
        _send_history(new_instance, live, 20.1)
        assert new_instance.others_usage("c", 20.1) == 60

    @pytest.mark.parametrize("first", [0, 1])
    def test_two_readings_count_once(self, first):
        old, young = _ledger("a", now=20.0), _ledger("b", now=20.4)
        for ledger, now in ((old, 20.0), (young, 20.4)):
            ledger.apply_stored(self._STORED, now)
        pairs = [(old, young), (young, old)]
        for to, sender in (pairs[first], pairs[1 - first]):
            _send_history(to, sender, 20.5)
        assert [x.others_usage("c", 20.6) for x in (old, young)] == [60, 60]

    def test_forwarded_to_an_instance_that_read_nothing(self):
        reader, new_instance = _ledger("a", now=20.0), _ledger("b", now=19.0)
        reader.apply_stored(self._STORED, 20.0)
        _send_history(new_instance, reader, 20.5)
        assert new_instance.listed == {"c"}
        assert new_instance.others_usage("c", 20.5) == 60

    def test_ignored_once_the_window_is_known(self):
        ledger = _ledger()
        ledger.apply_stored(self._STORED, 9.0)
        assert ledger.others_usage("c", 9.0) == 0

    def test_empty_history_adds_no_knowledge(self):
        ledger = _ledger(now=20.0)
        ledger.apply_history(UsageHistory(0.1, 0.1, False, [], []), 20.0)
        assert not ledger.knows_history(20.0)


class TestRelayChange:
    """A follower's usage is forwarded by its former relay and counted once."""

    def _follow(self, follower, relay, now):
        _send_history(relay, follower, now, UsageScope.FOLLOWER)
        _send_history(follower, relay, now, UsageScope.ALL, "f")

    def test_usage_sent_to_the_old_relay_is_not_sent_to_the_new_one(self):
        follower, old, new = _ledger("f"), _ledger("r0"), _ledger("r1")
        follower.add_own("c", 10, 20.0)
        self._follow(follower, old, 20.1)
        _send_history(new, old, 20.2)
        sent_totals = dict(follower.group_totals)
        follower.add_own("c", 3, 20.3)
        follower.detach_sent(sent_totals)
        assert follower.total_usage("c", 20.3) == 13
        self._follow(follower, new, 20.4)
        assert new.total_usage("c", 20.4) == 13
        assert follower.total_usage("c", 20.4) == 13

    def test_relay_with_less_history_does_not_replace_an_ended_one(self):
        follower, old, new = _ledger("f"), _ledger("r0"), _ledger("r1", now=20.0)
        old.add_own("c", 40, 19.0)
        self._follow(follower, old, 19.1)
        follower.detach_sent({})
        new.add_own("c", 2, 20.1)
        self._follow(follower, new, 20.2)
        assert follower.total_usage("c", 20.2) == 42

    def test_relay_replaces_it_after_receiving_the_history(self):
        follower, old, new = _ledger("f"), _ledger("r0"), _ledger("r1", now=20.0)
        old.add_own("c", 40, 19.0)
        self._follow(follower, old, 19.1)
        self._follow(follower, new, 20.2)
        _send_history(new, old, 20.3)
        self._follow(follower, new, 20.4)
        assert follower.total_usage("c", 20.4) == 40

    def test_follower_reports_only_its_own_usage(self):
        follower, relay = _ledger("f"), _ledger("r", now=20.0)
        follower.add_own("c", 5, 20.0)
        _send_history(relay, follower, 20.1, UsageScope.FOLLOWER)
        assert relay.others_usage("c", 20.1) == 5
        assert not relay.knows_history(20.1)
