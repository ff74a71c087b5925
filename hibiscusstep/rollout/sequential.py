"""hibiscusstep.rollout.sequential: sequential hypothesis tests."""

import math
from abc import ABC, abstractmethod

from hibiscusstep.registry import Registry

__all__ = ["SPRT", "TESTS", "Cusum", "SequentialTest", "log_ratio_of_failure"]


class SequentialTest(ABC):
    """A test that accumulates, answer by answer, evidence of too many bad ones.

    Attributes
    ----------
    evidence : float
        Natural logarithm of the likelihood ratio of "too many are bad" to "not".
    """

    name: str

    def __init__(self) -> None:
        self.evidence = 0.0

    @abstractmethod
    def add(self, log_ratio: float) -> None:
        """Add the log-likelihood ratio of one answer."""


class Cusum(SequentialTest):
    """Page's CUSUM test: the evidence never falls below 0.

    Page, E. S. (1954), Continuous inspection schemes, Biometrika 41. Good answers at
    the start do not offset those of a version that turns bad later.
    """

    name = "cusum"

    def add(self, log_ratio: float) -> None:
        """Add the log-likelihood ratio of one answer; the sum is cut off at 0."""
        self.evidence = max(0.0, self.evidence + log_ratio)


class SPRT(SequentialTest):
    """Wald's sequential probability ratio test: all answers count.

    Wald, A. (1945), Sequential tests of statistical hypotheses, Annals of Mathematical
    Statistics 16.
    """

    name = "sprt"

    def add(self, log_ratio: float) -> None:
        """Add the log-likelihood ratio of one answer."""
        self.evidence += log_ratio


TESTS = Registry("sequential test", [Cusum, SPRT])


def log_ratio_of_failure(failed: bool, rate: float, excess: float) -> float:
    """Return the log-likelihood ratio of an outcome under a raised failure rate.

    Parameters
    ----------
    failed : bool
        The outcome.
    rate : float
        Failure rate of the current version.
    excess : float
        Share of the remaining answers that fail as well if the version is bad.
    """
    worse = rate + excess * (1 - rate)
    return math.log(worse / rate if failed else (1 - worse) / (1 - rate))
