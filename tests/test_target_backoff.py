"""hibiscusstep.forwarding.target_backoff: when targets may be sent requests again."""

from hibiscusstep.forwarding.target_backoff import TargetBackoff


class TestTargetBackoff:
    def test_a_target_is_avoided_for_the_given_time(self):
        backoff = TargetBackoff()
        backoff.back_off("t", 2.0, 10.0)
        assert backoff.is_backing_off("t", 11.9)
        assert not backoff.is_backing_off("t", 12.0)
        assert not backoff.is_backing_off("other", 11.0)

    def test_a_later_shorter_time_does_not_replace_a_longer_one(self):
        backoff = TargetBackoff()
        backoff.back_off("t", 9.0, 10.0)
        backoff.back_off("t", 1.0, 11.0)
        assert backoff.names_backing_off(18.9) == ["t"]

    def test_expired_times_are_dropped(self):
        backoff = TargetBackoff()
        for number in range(100):
            backoff.back_off(f"t{number}", 1.0, 10.0 + number)
        assert backoff.names_backing_off(110.5) == []
        assert not backoff.is_backing_off("t99", 110.5)

    def test_seconds_until_one_is_available(self):
        backoff = TargetBackoff()
        backoff.back_off("a", 2.0, 10.0)
        backoff.back_off("b", 5.0, 10.0)
        assert backoff.seconds_until_any(["a", "b"], 10.5) == 1.5
        assert backoff.seconds_until_any(["a", "b", "free"], 10.5) == 0.0
        assert backoff.seconds_until_any([], 10.5) == 0.0
