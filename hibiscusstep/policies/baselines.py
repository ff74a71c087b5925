"""hibiscusstep.policies.baselines: simple policies for comparison."""

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


class _ImmediatePolicy(Policy):
    """Dispatches each request on arrival; requests queue at the targets."""

    bounded = False
    tiered = False

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._turn = itertools.count()


class RandomPolicy(_ImmediatePolicy):
    """Selects a target at random."""

    name = "random"

    def choose(self, work, targets, usable_targets, urgent):
        """Return a random target."""
        return self._random.choice(targets)


class RoundRobinPolicy(_ImmediatePolicy):
    """Selects the targets in turn."""

    name = "round-robin"

    def choose(self, work, targets, usable_targets, urgent):
        """Return the next target in turn."""
        return targets[next(self._turn) % len(targets)]


class LeastLoadPolicy(_ImmediatePolicy):
    """Selects the target with the least reported load."""

    name = "least-load"

    def choose(self, work, targets, usable_targets, urgent):
        """Return a target with the least reported load; break ties at random."""
        least = min(target.reported_load for target in targets)
        return self._random.choice([t for t in targets if t.reported_load == least])


class TwoChoicesPolicy(_ImmediatePolicy):
    """Selects the target with the lower reported load of two random ones."""

    name = "two-choices"

    def choose(self, work, targets, usable_targets, urgent):
        """Return the less loaded of two random targets."""
        sampled = self._random.sample(targets, min(2, len(targets)))
        return min(sampled, key=lambda target: target.reported_load)


class FirstComePolicy(Policy):
    """First come, first served without tiers, on the least occupied target."""

    name = "first-come"
    aliases = ("fcfs",)
    tiered = False

    def __init__(self, seed: int = 0) -> None:
        pass

    def choose(self, work, targets, usable_targets, urgent):
        """Return the target with the smallest fraction of its slots occupied."""
        return min(targets, key=lambda target: len(target.running) / target.max_running)


class StrictPriorityPolicy(FirstComePolicy):
    """Higher tiers first; first come, first served within a tier; no estimates."""

    name = "strict-priority"
    aliases = ()
    tiered = True
