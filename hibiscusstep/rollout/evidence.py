"""hibiscusstep.rollout.evidence: evidence against a version, by route and symptom."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from hibiscusstep.rollout.sequential import SequentialTest

__all__ = [
    "ALL_ROUTES",
    "EXCESS_SHARES",
    "UNDER_LOAD",
    "AnswerEvidence",
    "Evidence",
    "Symptom",
]

# Shares of additional bad answers in a bad version; there is one test for each.
EXCESS_SHARES = (0.05, 0.2)
# Keys of the tests over all routes, which detect a fault that affects each of them
# sooner, and over all requests granted when most slots of their target were taken.
ALL_ROUTES = "all routes"
UNDER_LOAD = "all routes under load"
# Answers kept so that those of one target can be removed from the tests.
MAX_KEPT_ANSWERS = 400
# Before full traffic, the sum of the log-likelihood ratios of the most recent answers
# of each test must not exceed a limit; the limit is lower for the test over all routes,
# which has more answers.
RECENT_ANSWERS = 60
RECENT_LIMIT_ALL_ROUTES, RECENT_LIMIT = 2.0, 5.0
# Minimum number of answers whose outcomes, and whose times, were compared.
MIN_COMPARED, MIN_COMPARED_TIMES = 10, 4


@dataclass(frozen=True, slots=True)
class Symptom:
    """A way in which the answers of a version are worse.

    Parameters
    ----------
    name : str
        Name in reasons.
    needed_evidence : float
        Log-likelihood ratio at which a version is rejected.
    suspicion_parts : tuple of float
        For each excess share, the part of `needed_evidence` from which on a version
        does not receive all traffic. Higher for a small excess, whose test fluctuates
        more.
    """

    name: str
    needed_evidence: float
    suspicion_parts: tuple[float, ...]


FAILS = Symptom("fails", 10.0, (0.8, 0.5))
# The distribution of times is only roughly known, so more evidence is needed. Slowness
# shows in fewer answers than failures do.
SLOW = Symptom("slow", 13.0, (0.8, 0.25))


@dataclass(frozen=True, slots=True)
class AnswerEvidence:
    """The evidence of one answer that the new version is worse.

    Parameters
    ----------
    target : str
        The target that answered.
    keys : tuple of str
        Keys of the tests that the answer belongs to: its route, and those of several
        routes.
    failures : tuple of float
        Log-likelihood ratios of its outcome, for each excess share.
    slowness : tuple of float
        Log-likelihood ratios of its time, for each excess share; empty if the time
        cannot be compared.
    """

    target: str
    keys: tuple[str, ...]
    failures: tuple[float, ...]
    slowness: tuple[float, ...]

    @property
    def log_ratios(self) -> tuple[tuple[Symptom, tuple[float, ...]], ...]:
        """Log-likelihood ratios by symptom; without slowness if the time is unknown."""
        failures = (FAILS, self.failures)
        return (failures, (SLOW, self.slowness)) if self.slowness else (failures,)


class Evidence:
    """Sequential tests of the new version's answers, for each symptom and route.

    Parameters
    ----------
    make_test : callable returning a SequentialTest
        Creates a test.
    """

    def __init__(self, make_test) -> None:
        self._make_test = make_test
        self._tests: dict[tuple[Symptom, str], list[SequentialTest]] = {}
        self._recent: dict[tuple[Symptom, str], deque[float]] = {}
        self._answers: deque[AnswerEvidence] = deque(maxlen=MAX_KEPT_ANSWERS)
        self._running: list[AnswerEvidence] = []
        self._compared: Counter[Symptom] = Counter()

    @property
    def strongest(self) -> float:
        """Maximum evidence of all tests; at 1 the version is rejected."""
        parts = [
            value / symptom.needed_evidence
            for (symptom, _key), evidence in self._totals().items()
            for value in evidence
        ]
        return max(parts, default=0.0)

    @property
    def is_enough(self) -> bool:
        """Whether enough answers were compared to detect a bad version."""
        compared = self._compared
        return compared[FAILS] >= MIN_COMPARED and compared[SLOW] >= MIN_COMPARED_TIMES

    @property
    def slow_running(self) -> Counter[str]:
        """Number of running requests that are already slow, by target."""
        return Counter(answer.target for answer in self._running)

    def add(self, answer: AnswerEvidence) -> None:
        """Add an answer that has ended."""
        self._compared.update(symptom for symptom, _ratios in answer.log_ratios)
        self._answers.append(answer)
        self._add_to_tests(answer)

    def replace_running(self, answers: Iterable[AnswerEvidence]) -> None:
        """Replace the running requests that are already slow."""
        self._running = list(answers)

    def exclude_target(self, target: str) -> None:
        """Remove the answers of a target from the tests."""
        self._tests.clear()
        self._recent.clear()
        others = [answer for answer in self._answers if answer.target != target]
        self._answers = deque(others, maxlen=MAX_KEPT_ANSWERS)
        self._running = [a for a in self._running if a.target != target]
        for answer in others:
            self._add_to_tests(answer)

    def rejection_reason(self, part: float = 1.0) -> str:
        """Return why the version is to be rejected; empty if it is not.

        Parameters
        ----------
        part : float
            Part of the usual evidence that is sufficient.
        """
        found: dict[Symptom, list[str]] = defaultdict(list)
        for (symptom, key), evidence in self._totals().items():
            if max(evidence) >= part * symptom.needed_evidence:
                found[symptom].append(key)
        for symptom in (FAILS, SLOW):
            if found[symptom]:
                return f"{symptom.name} on {', '.join(sorted(found[symptom]))}"
        return ""

    def suspicion(self) -> str:
        """Return a sign that the version is worse; empty if there is none.

        A suspicion is too weak to reject a version, but bars it from all traffic.
        """
        return next(self._suspicions(), "")

    def _suspicions(self) -> Iterator[str]:
        totals = self._totals()
        for symptom, key in sorted(totals, key=lambda test: (test[0].name, test[1])):
            if any(
                value >= part * symptom.needed_evidence
                for value, part in zip(
                    totals[symptom, key], symptom.suspicion_parts, strict=True
                )
            ):
                yield f"{symptom.name} on {key}"
            limit = RECENT_LIMIT_ALL_ROUTES if key == ALL_ROUTES else RECENT_LIMIT
            if self._recent_sum(symptom, key) > limit:
                yield f"recent answers: {symptom.name} on {key}"

    def _recent_sum(self, symptom: Symptom, key: str) -> float:
        """Return the evidence of a test's recent answers, running requests last."""
        recent = [*self._recent[symptom, key]]
        if symptom is SLOW:
            recent += [a.slowness[-1] for a in self._running if key in a.keys]
        return sum(recent[-RECENT_ANSWERS:])

    def _add_to_tests(self, answer: AnswerEvidence) -> None:
        for symptom, ratios in answer.log_ratios:
            for key in answer.keys:
                test = symptom, key
                if test not in self._tests:
                    self._tests[test] = [self._make_test() for _ in EXCESS_SHARES]
                    self._recent[test] = deque(maxlen=RECENT_ANSWERS)
                self._recent[test].append(ratios[-1])
                for excess_test, ratio in zip(self._tests[test], ratios, strict=True):
                    excess_test.add(ratio)

    def _totals(self) -> dict[tuple[Symptom, str], list[float]]:
        """Return each test's evidence by excess share, including running requests."""
        totals = {
            test: [excess_test.evidence for excess_test in excess_tests]
            for test, excess_tests in self._tests.items()
        }
        for answer in self._running:
            for key in answer.keys:
                slow_totals = totals.get((SLOW, key), [])
                for number, _evidence in enumerate(slow_totals):
                    slow_totals[number] += max(0.0, answer.slowness[number])
        return totals
