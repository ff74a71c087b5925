"""hibiscusstep.forwarding.target_backoff: when targets may be sent requests again."""

from hibiscusstep.forwarding.target_backoff import TargetBackoff


class TestRests:
    def test_a_target_is_avoided_for_the_given_time(self):
        rests = TargetBackoff()
        rests.rest("t", 2.0, 10.0)
        assert rests.is_resting("t", 11.9)
        assert not rests.is_resting("t", 12.0)
        assert not rests.is_resting("other", 11.0)

    def test_a_later_shorter_time_does_not_replace_a_longer_one(self):
        rests = TargetBackoff()
        rests.rest("t", 9.0, 10.0)
        rests.rest("t", 1.0, 11.0)
        assert rests.resting(18.9) == ["t"]

    def test_expired_times_are_dropped(self):
        rests = TargetBackoff()
        for number in range(100):
            rests.rest(f"t{number}", 1.0, 10.0 + number)
        assert rests.resting(110.5) == []
        assert not rests.is_resting("t99", 110.5)

    def test_seconds_until_one_is_available(self):
        rests = TargetBackoff()
        rests.rest("a", 2.0, 10.0)
        rests.rest("b", 5.0, 10.0)
        assert rests.until_any(["a", "b"], 10.5) == 1.5
        assert rests.until_any(["a", "b", "free"], 10.5) == 0.0
        assert rests.until_any([], 10.5) == 0.0
