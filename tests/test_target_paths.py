"""Tests of hibiscusstep.forwarding.target_paths: which targets are reached, and how."""

import pytest

from hibiscusstep.forwarding.target_paths import (
    CHECK_INTERVAL_S,
    PARTITION_MEMORY_S,
    PEER_PENALTY_S,
    RETRY_INTERVAL_S,
    UNREACHABLE_S,
    TargetPaths,
)
from hibiscusstep.membership.view import Member, View

OWN = "10.0.0.1:1"


def _member(number, data_centre="here", accepts=True, leaving=False, capacity=1):
    address = f"10.0.0.{number}:1"
    return Member(
        f"n{number}", "", data_centre, "r", address, "", 1, True, leaving,
        capacity=capacity, accepts_tunnels=accepts,
    )  # fmt: skip


def _paths(*members):
    paths = TargetPaths(OWN, "here", seed=1)
    paths.apply_view(View({m.name: m for m in (_member(1), *members)}))
    return paths


def _lose(paths, *names, now=0.0):
    for name in names:
        paths.record_failure(name, "ConnectionResetError", now)
        paths.record_reached_by_peer(name, "10.0.0.2:1", now)


class TestLostPaths:
    def test_a_failure_alone_is_no_lost_path(self):
        paths = _paths(_member(2))
        paths.record_failure("t", "ConnectionRefusedError", 0.0)
        assert not paths.is_lost("t")

    @pytest.mark.parametrize("peer_first", [False, True])
    def test_it_is_lost_if_a_peer_reaches_the_target(self, peer_first):
        paths = _paths(_member(2))
        steps = [
            lambda: paths.record_failure("t", "TimeoutError", 0.4),
            lambda: paths.record_reached_by_peer("t", "10.0.0.2:1", 0.1),
        ]
        for step in reversed(steps) if peer_first else steps:
            step()
        assert paths.is_lost("t")

    def test_success_ends_it(self):
        paths = _paths(_member(2))
        _lose(paths, "t")
        paths.record_success("t", 0.001, 1.0)
        assert not paths.is_lost("t")

    def test_an_attempt_that_began_before_a_success_says_nothing(self):
        """Guards against a path that counts as lost again when its partition ends."""
        paths = _paths(_member(2))
        paths.record_success("t", 0.001, 1.0)
        paths.record_failure("t", "TimeoutError", 1.3, started=0.9)
        paths.record_reached_by_peer("t", "10.0.0.2:1", 1.3)
        assert not paths.is_lost("t")
        assert not paths.fails_elsewhere("other")
        paths.record_failure("t", "TimeoutError", 1.5, started=1.1)
        assert paths.is_lost("t")

    def test_it_is_tried_again_at_intervals(self):
        paths = _paths(_member(2))
        _lose(paths, "t")
        assert not paths.take_retry("t", 0.1)
        assert paths.take_retry("t", RETRY_INTERVAL_S)
        assert not paths.take_retry("t", RETRY_INTERVAL_S + 0.1)

    def test_slow_is_several_times_the_usual(self):
        paths = _paths()
        for _ in range(50):
            paths.record_success("far", 0.05, 0.0)
            paths.record_success("near", 0.001, 0.0)
        assert paths.slow_connect_s("far") == pytest.approx(0.15, rel=0.01)
        assert paths.slow_connect_s("near") < paths.slow_connect_s("far")


class TestPartition:
    def test_all_paths_count_as_lost_after_two(self):
        paths = _paths(_member(2))
        _lose(paths, "a", "b")
        assert paths.is_partitioned
        assert paths.is_lost("never tried")

    def test_one_target_in_reach_prevents_that(self):
        paths = _paths(_member(2))
        _lose(paths, "a")
        paths.record_success("b", 0.001, 0.1)
        _lose(paths, "c", now=0.2)
        assert not paths.is_partitioned
        assert [paths.is_lost(name) for name in "abc"] == [True, False, True]

    def test_ends_with_a_success_and_all_are_tried_again(self):
        paths = _paths(_member(2))
        _lose(paths, "a", "b")
        paths.record_success("a", 0.001, 0.1)
        assert not paths.is_partitioned
        assert paths.take_retry("b", 0.1)

    def test_ends_without_attempts(self):
        paths = _paths(_member(2))
        _lose(paths, "a", "b")
        paths.expire(PARTITION_MEMORY_S)
        assert paths.is_partitioned
        paths.expire(PARTITION_MEMORY_S + 0.1)
        assert not paths.is_partitioned

    def test_failures_elsewhere_make_a_failure_doubtful(self):
        paths = _paths(_member(2))
        paths.record_failure("a", "TimeoutError", 0.0)
        assert not paths.fails_elsewhere("a")
        assert paths.fails_elsewhere("b")
        paths.record_success("c", 0.001, 0.1)
        assert not paths.fails_elsewhere("b")


class TestPeers:
    def _names(self, paths, now=0.0, used=()):
        return [member.name for member in paths.peers(now, dict(used))]

    def test_only_instances_that_serve_tunnels_are_asked(self):
        """Guards against asking a build that does not know tunnels."""
        paths = _paths(_member(2, accepts=False), _member(3, leaving=True), _member(4))
        assert self._names(paths) == ["n4"]

    def test_the_own_data_centre_comes_first(self):
        paths = _paths(_member(2, "there"), _member(3))
        assert self._names(paths) == ["n3", "n2"]

    def test_then_the_one_with_the_fewest_tunnels_by_capacity(self):
        paths = _paths(_member(2, capacity=4), _member(3, capacity=1))
        used = {"10.0.0.2:1": 3, "10.0.0.3:1": 1}
        assert self._names(paths, used=used) == ["n2", "n3"]

    def test_one_that_failed_comes_last_for_a_while(self):
        paths = _paths(_member(2), _member(3, "there"))
        paths.penalize_peer("10.0.0.2:1", 0.0)
        assert self._names(paths) == ["n3", "n2"]
        assert self._names(paths, PEER_PENALTY_S) == ["n2", "n3"]

    def test_data_centres_take_turns(self):
        """Guards against asking only instances that lost their links together."""
        members = [_member(n) for n in (2, 3, 4)] + [
            _member(n, "there") for n in (5, 6)
        ]
        names = self._names(_paths(*members))
        here = {"n2", "n3", "n4"}
        assert [name in here for name in names] == [True, False, True]

    def test_a_data_centre_in_which_one_failed_comes_last_for_a_while(self):
        paths = _paths(_member(2), _member(3), _member(4, "there"))
        paths.penalize_peer("10.0.0.2:1", 0.0)
        assert self._names(paths) == ["n4", "n3", "n2"]
        paths.record_reached_by_peer("t", "10.0.0.3:1", 0.1)
        assert self._names(paths) == ["n3", "n4", "n2"]


class TestUnreachableTargets:
    def test_are_left_alone_for_a_while(self):
        paths = _paths()
        paths.record_unreachable("a", 0.0)
        assert paths.names_unreachable(["a", "b"], 0.1) == ["a"]
        assert not paths.has_unreachable(UNREACHABLE_S)

    def test_not_if_they_are_all_of_the_pool(self):
        paths = _paths()
        for name in "ab":
            paths.record_unreachable(name, 0.0)
        assert paths.names_unreachable(["a", "b"], 0.1) == []


class TestNothingInReach:
    """Requests are refused at once only where nobody reaches the targets."""

    def _fail_everywhere(self, paths, *names):
        for name in names:
            paths.record_failure(name, "TimeoutError", 0.0)
            paths.record_unreachable(name, 0.0)

    def test_after_half_of_the_targets(self):
        paths = _paths()
        for name in "abcd":
            paths.record_success(name, 0.001, 0.0)
        self._fail_everywhere(paths, "a")
        assert not paths.reaches_nothing
        self._fail_everywhere(paths, "b")
        assert paths.reaches_nothing

    def test_not_while_other_instances_reach_some(self):
        """Guards against refusals as soon as one target is down in a partition."""
        paths = _paths(_member(2))
        _lose(paths, "a", "b", "c")
        self._fail_everywhere(paths, "d")
        assert not paths.reaches_nothing

    @pytest.mark.parametrize(
        "event",
        [
            lambda paths: paths.record_response(),
            lambda paths: paths.record_reached_by_peer("c", "10.0.0.2:1", 0.1),
            lambda paths: paths.record_success("c", 0.001, 0.1),
        ],
    )
    def test_ends_when_any_target_is_reached(self, event):
        paths = _paths(_member(2))
        self._fail_everywhere(paths, "a", "b")
        assert paths.reaches_nothing
        event(paths)
        assert not paths.reaches_nothing


class TestChecks:
    """Paths on which overdue requests are silent are checked, but not without need."""

    def test_two_silent_targets_are_checked_one_at_a_time(self):
        paths = _paths()
        assert not paths.take_check("a", 0.5, 1.0)
        assert paths.take_check("b", 0.5, 1.0)
        assert not paths.take_check("a", 0.5, 1.0)
        assert paths.take_check("a", 0.5, 1.0 + CHECK_INTERVAL_S)

    def test_one_silent_target_is_not(self):
        """Guards against connections where answers of a target are late or lost."""
        paths = _paths()
        for now in (1.0, 2.0, 3.0):
            assert not paths.take_check("a", 0.5, now)

    def test_none_if_the_path_has_succeeded_since(self):
        paths = _paths()
        for name in "ab":
            paths.record_success(name, 0.001, 1.0)
        for name in "ab":
            assert not paths.take_check(name, 0.5, 2.0)
        assert not paths.take_check("a", 1.5, 2.5)
        assert paths.take_check("b", 1.5, 2.5)

    def test_none_before_the_silence_is_long(self):
        paths = _paths()
        for name in "ab":
            assert not paths.take_check(name, 1.5, 1.0)
