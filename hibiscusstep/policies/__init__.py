"""hibiscusstep.policies: the placement policies by name."""

from hibiscusstep.policies.baselines import (
    FirstComePolicy,
    LeastLoadPolicy,
    RandomPolicy,
    RoundRobinPolicy,
    StrictPriorityPolicy,
    TwoChoicesPolicy,
)
from hibiscusstep.policies.expected_work import (
    ExpectedWorkPolicy,
    PrefixAffinityPolicy,
)
from hibiscusstep.registry import Registry

__all__ = ["POLICIES"]

POLICIES = Registry(
    "policy",
    [
        ExpectedWorkPolicy,
        FirstComePolicy,
        LeastLoadPolicy,
        PrefixAffinityPolicy,
        RandomPolicy,
        RoundRobinPolicy,
        StrictPriorityPolicy,
        TwoChoicesPolicy,
    ],
)
