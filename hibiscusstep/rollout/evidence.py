"""hibiscusstep.rollout.evidence: what speaks against a version, by route and kind."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from hibiscusstep.rollout.sequential import SequentialTest

__all__ = ["ALL_ROUTES", "EXCESSES", "Evidence", "Fault", "UNDER_LOAD", "WeighedAnswer"]

# How much worse a version is supposed to be, if it is worse: the tests look for each.
EXCESSES = (0.05, 0.2)
# Stand for all routes, where what is bad on each shows sooner together, and for all
# requests that were granted when most slots of their target were taken.
ALL_ROUTES = "all routes"
UNDER_LOAD = "all routes under load"
# Answers that are kept: to take those of one target back.
KEPT_ANSWERS = 400
# Of each test so many of the latest answers are looked at before a version is taken for
# sound, and the evidence against it that they may hold, as a natural logarithm: less of
# all routes together, of which there are more.
LATEST = 60
DOUBT, DOUBT_OF_ROUTE = 2.0, 5.0
# So many answers have to be compared, and the times of so many.
FEWEST_COMPARED, FEWEST_TIMES = 10, 4


@dataclass(frozen=True, slots=True)
class Fault:
    """A way in which answers are worse.

    Parameters
    ----------
    name : str
        As reasons tell it.
    needed : float
        Evidence that condemns a version, as a natural logarithm.
    doubts : tuple of float
        With this part of it, for each excess, a version does not get all traffic. More
        where a small excess is looked for: its test wanders further by chance.
    """

    name: str
    needed: float
    doubts: tuple[float, ...]


FAILS = Fault("fails", 10.0, (0.8, 0.5))
# Its distribution is only roughly known, and it shows in fewer answers.
SLOW = Fault("slow", 13.0, (0.8, 0.25))


@dataclass(frozen=True, slots=True)
class WeighedAnswer:
    """An answer of the new version, as evidence that the version is worse.

    Parameters
    ----------
    target : str
        Where it was answered.
    keys : tuple of str
        The tests that take it: its route, and those that stand for several.
    failures : tuple of float
        Logarithms of likelihood ratios, for each excess of failures.
    slowness : tuple of float
        The same for each excess of slow answers; empty if its time tells nothing.
    """

    target: str
    keys: tuple[str, ...]
    failures: tuple[float, ...]
    slowness: tuple[float, ...]

    @property
    def ratios(self) -> tuple[tuple[Fault, tuple[float, ...]], ...]:
        """What it says of each fault; nothing of slowness if its time is not known."""
        failures = (FAILS, self.failures)
        return (failures, (SLOW, self.slowness)) if self.slowness else (failures,)


class Evidence:
    """Sequential tests of the new version's answers, for each fault and route.

    Parameters
    ----------
    make_test : callable returning a SequentialTest
        Makes a test.
    """

    def __init__(self, make_test) -> None:
        self._make_test = make_test
        self._tests: dict[tuple[Fault, str], list[SequentialTest]] = {}
        self._latest: dict[tuple[Fault, str], deque[float]] = {}
        self._answers: deque[WeighedAnswer] = deque(maxlen=KEPT_ANSWERS)
        self._running: list[WeighedAnswer] = []
        self._compared: Counter[Fault] = Counter()

    @property
    def strongest(self) -> float:
        """The most evidence of a test, 1 where it condemns the version."""
        parts = [
            found / fault.needed
            for (fault, _key), evidence in self._sums().items()
            for found in evidence
        ]
        return max(parts, default=0.0)

    @property
    def is_enough(self) -> bool:
        """Whether enough answers were compared to see a version that is bad."""
        compared = self._compared
        return compared[FAILS] >= FEWEST_COMPARED and compared[SLOW] >= FEWEST_TIMES

    @property
    def slow_running(self) -> Counter[str]:
        """How many requests at each target still run and are slow already."""
        return Counter(answer.target for answer in self._running)

    def add(self, answer: WeighedAnswer) -> None:
        """Take an answer that has ended."""
        self._compared.update(fault for fault, _ratios in answer.ratios)
        self._answers.append(answer)
        self._weigh(answer)

    def take_running(self, answers: Iterable[WeighedAnswer]) -> None:
        """Take what runs and is slow already, instead of what was taken before."""
        self._running = list(answers)

    def set_aside(self, target: str) -> None:
        """Take the answers of a target back."""
        self._tests.clear()
        self._latest.clear()
        others = [answer for answer in self._answers if answer.target != target]
        self._answers = deque(others, maxlen=KEPT_ANSWERS)
        self._running = [a for a in self._running if a.target != target]
        for answer in others:
            self._weigh(answer)

    def condemns(self, part: float = 1.0) -> str:
        """Return what the version is condemned for; empty if for nothing.

        Parameters
        ----------
        part : float
            Of the evidence that is needed.
        """
        found: dict[Fault, list[str]] = defaultdict(list)
        for (fault, key), evidence in self._sums().items():
            if max(evidence) >= part * fault.needed:
                found[fault].append(key)
        for fault in (FAILS, SLOW):
            if found[fault]:
                return f"{fault.name} on {', '.join(sorted(found[fault]))}"
        return ""

    def doubt(self) -> str:
        """Return what hints that the version is worse; empty if nothing does.

        What is too little to condemn a version is too much to let it have all traffic.
        """
        return next(self._doubts(), "")

    def _doubts(self) -> Iterator[str]:
        sums = self._sums()
        for fault, key in sorted(sums, key=lambda test: (test[0].name, test[1])):
            if any(
                found >= part * fault.needed
                for found, part in zip(sums[fault, key], fault.doubts, strict=True)
            ):
                yield f"{fault.name} on {key}"
            bound = DOUBT if key == ALL_ROUTES else DOUBT_OF_ROUTE
            if self._latest_sum(fault, key) > bound:
                yield f"latest answers: {fault.name} on {key}"

    def _latest_sum(self, fault: Fault, key: str) -> float:
        """Return the evidence of a test's latest answers, those last that still run."""
        latest = [*self._latest[fault, key]]
        if fault is SLOW:
            latest += [a.slowness[-1] for a in self._running if key in a.keys]
        return sum(latest[-LATEST:])

    def _weigh(self, answer: WeighedAnswer) -> None:
        """Add an answer to its tests."""
        for fault, ratios in answer.ratios:
            for key in answer.keys:
                test = fault, key
                if test not in self._tests:
                    self._tests[test] = [self._make_test() for _ in EXCESSES]
                    self._latest[test] = deque(maxlen=LATEST)
                self._latest[test].append(ratios[-1])
                for of_excess, ratio in zip(self._tests[test], ratios, strict=True):
                    of_excess.add(ratio)

    def _sums(self) -> dict[tuple[Fault, str], list[float]]:
        """Return the evidence of each test and excess, with what still runs."""
        sums = {
            test: [of_excess.evidence for of_excess in excesses]
            for test, excesses in self._tests.items()
        }
        for answer in self._running:
            for key in answer.keys:
                of_key = sums.get((SLOW, key), [])
                for number, _evidence in enumerate(of_key):
                    of_key[number] += max(0.0, answer.slowness[number])
        return sums
