"""hibiscusstep.policies.baselines: simple policies that ours is measured against."""

import itertools
import random

from hibiscusstep.policy import Policy

__all__ = [
    "FirstComePolicy",
    "LeastLoadPolicy",
    "RandomPolicy",
    "RoundRobinPolicy",
    "StrictPriorityPolicy",
    "TwoChoicesPolicy",
]


class _AtOncePolicy(Policy):
    """Sends every request on as it comes; queues form in the targets."""

    bounded = False
    tiered = False

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._turn = itertools.count()


class RandomPolicy(_AtOncePolicy):
    """Any target."""

    name = "random"

    def choose(self, work, targets, live, alone):
        """Return any target."""
        return self._random.choice(targets)


class RoundRobinPolicy(_AtOncePolicy):
    """One target after the other."""

    name = "round-robin"

    def choose(self, work, targets, live, alone):
        """Return the next target in turn."""
        return targets[next(self._turn) % len(targets)]


class LeastLoadPolicy(_AtOncePolicy):
    """The target that last reported the least load."""

    name = "least-load"

    def choose(self, work, targets, live, alone):
        """Return a target of the least reported load, ties at random."""
        least = min(target.reported for target in targets)
        return self._random.choice([t for t in targets if t.reported == least])


class TwoChoicesPolicy(_AtOncePolicy):
    """The less loaded, as reported, of two random targets."""

    name = "two-choices"

    def choose(self, work, targets, live, alone):
        """Return the better of two drawn targets."""
        drawn = self._random.sample(targets, min(2, len(targets)))
        return min(drawn, key=lambda target: target.reported)


class FirstComePolicy(Policy):
    """One queue in order of arrival, tiers unseen; the target running fewest."""

    name = "first-come"
    aliases = ("fcfs",)
    tiered = False

    def __init__(self, seed: int = 0) -> None:
        pass

    def choose(self, work, targets, live, alone):
        """Return the target with the smallest share of its places taken."""
        return min(targets, key=lambda target: len(target.running) / target.max_running)


class StrictPriorityPolicy(FirstComePolicy):
    """Like first-come within a tier, higher tiers first; no estimates."""

    name = "strict-priority"
    aliases = ()
    tiered = True
