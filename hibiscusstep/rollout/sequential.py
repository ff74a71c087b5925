"""hibiscusstep.rollout.sequential: tests that take answers one by one."""

import math
from abc import ABC, abstractmethod

from hibiscusstep.registry import Registry

__all__ = ["SPRT", "TESTS", "Cusum", "SequentialTest", "log_ratio_of_failure"]


class SequentialTest(ABC):
    """Sums up the evidence of answers, one by one, that too many of them are bad.

    Attributes
    ----------
    evidence : float
        Natural logarithm of how much likelier the answers are if too many are.
    """

    name: str

    def __init__(self) -> None:
        self.evidence = 0.0

    @abstractmethod
    def add(self, log_ratio: float) -> None:
        """Take an answer's logarithm of the likelihood ratio."""


class Cusum(SequentialTest):
    """Page's test: the evidence never falls below none.

    Page, E. S. (1954), Continuous inspection schemes, Biometrika 41. What was good at
    first does not count for a version that turns bad later.
    """

    name = "cusum"

    def add(self, log_ratio: float) -> None:
        """Take an answer; evidence that it is good does not add up."""
        self.evidence = max(0.0, self.evidence + log_ratio)


class SPRT(SequentialTest):
    """Wald's test: all answers count.

    Wald, A. (1945), Sequential tests of statistical hypotheses, Annals of Mathematical
    Statistics 16.
    """

    name = "sprt"

    def add(self, log_ratio: float) -> None:
        """Take an answer."""
        self.evidence += log_ratio


TESTS = Registry("sequential test", [Cusum, SPRT])


def log_ratio_of_failure(failed: bool, rate: float, part: float) -> float:
    """Return the logarithm of how much likelier an outcome is if a part more fails.

    Parameters
    ----------
    failed : bool
        The outcome.
    rate : float
        Part of answers that fail in the version in force.
    part : float
        Of the others.
    """
    worse = rate + part * (1 - rate)
    return math.log(worse / rate if failed else (1 - worse) / (1 - rate))
