"""hibiscusstep.rollout.comparison: whether a version answers worse than another one.

Both versions are observed over the same seconds, route by route. An answer is bad if
it failed, or took several times what its target usually takes.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from hibiscusstep.rollout.answer_times import AnswerTimes, Measured
from hibiscusstep.rollout.evidence import (
    ALL_ROUTES,
    EXCESSES,
    UNDER_LOAD,
    Evidence,
    WeighedAnswer,
)
from hibiscusstep.rollout.failure_rates import FailureRates
from hibiscusstep.rollout.sequential import TESTS, Cusum, log_ratio_of_failure

__all__ = ["Answer", "VersionComparison"]

# All of a version is slow if the fastest of so many of its targets takes so many times
# what the others take: one target may run on slow hardware.
SLOW_THROUGHOUT = 5.0
TARGETS_THROUGHOUT = 3
# A version has to be taken back soon after its fiftieth bad answer. With so many bad
# ones beyond this part of all, less of the evidence condemns it.
USUAL_BAD, MANY_BAD, REDUCED_PART = 0.2, 18.0, 0.5
# Targets that have just started are cold: they are compared after so many seconds.
COLD_S = 6.0
# One target is at fault, and not its version, if its answers are bad so many times as
# often as those of the others. Too few answers of these tell nothing against them.
FAULTY_TIMES = 2.0
FEWEST_OF_OTHERS = 5
# A version that is only doubted is cleared of a target at fault by so many answers.
FEWEST_SOUND = 20
# A version with so many targets may have one, two, three at fault by themselves.
FAULTS_FROM_TARGETS = (2, 6, 16)
# A target that crashes fails all that runs there: once in so many seconds.
CRASH_S = 1.0


@dataclass(frozen=True, slots=True)
class Answer:
    """How a request ended at a target.

    Parameters
    ----------
    target, route : str
        Where, and of which route.
    failed : bool
        Whether the target failed the request.
    broken : bool
        Whether the connection broke; many break at once where a target crashes.
    ratio : float
        Seconds that it took against what was expected of a usual target; 0 if not
        known.
    cut_short : bool
        Whether its caller left before its end, or it still runs: it tells only that it
        is slow.
    loaded : bool
        Whether most slots of its target were taken when it was granted.
    """

    target: str
    route: str
    failed: bool
    broken: bool = False
    ratio: float = 0.0
    cut_short: bool = False
    loaded: bool = False


class VersionComparison:
    """Weighs the answers of a new version against those of the version in force.

    A target may be at fault by itself, so a version that has several is condemned only
    after some of them showed it.

    Parameters
    ----------
    test : str
        Name of the sequential test.

    Attributes
    ----------
    faulty : set of str
        Targets of the new version that did worse by themselves; their answers do not
        count.
    answers, bad : int
        Answers of the new version, and the bad ones of them.
    """

    def __init__(self, test: str = Cusum.name) -> None:
        self._rates = FailureRates()
        self._times = AnswerTimes()
        self._evidence = Evidence(TESTS.get(test))
        self._new: set[str] = set()
        self._bad_at: Counter[str] = Counter()
        self._answers_at: Counter[str] = Counter()
        self._broke: dict[str, float] = {}
        self._slow_since = math.inf
        self.faulty: set[str] = set()
        self.answers = 0
        self.bad = 0

    @property
    def evidence(self) -> float:
        """The most evidence that the new version is worse, 1 where it is enough."""
        return self._evidence.strongest

    @property
    def has_compared_enough(self) -> bool:
        """Whether enough answers were compared to see a version that is bad."""
        return self._evidence.is_enough

    @property
    def can_begin(self) -> bool:
        """Whether enough is known of the version in force to compare another one."""
        return self._rates.are_known

    def observe(self, answer: Answer, *, new: bool, now: float) -> None:
        """Take an answer of the new version, or of the one in force."""
        if answer.broken and self._is_of_same_crash(answer.target, now):
            return
        failed = answer.failed or answer.broken
        measured = None if failed else self._measure(answer, new, now)
        slow = measured is not None and self._times.is_slow(answer.route, measured)
        if answer.cut_short and not slow:
            return
        if not new:
            self._rates.add(answer.route, failed, now)
            if measured is not None:
                self._times.learn_spread(answer.route, measured, answer.loaded)
            return
        self._new.add(answer.target)
        self.answers += 1
        self.bad += failed or slow
        if answer.target in self.faulty or not self._rates.are_known:
            return
        self._bad_at[answer.target] += failed or slow
        self._answers_at[answer.target] += 1
        self._evidence.add(self._weigh(answer, failed, measured))

    def begin_move(self, now: float) -> None:
        """Take note that all targets of the new version get requests from now on."""
        self._times.admit_no_more(now)

    def take_running(self, answers: Iterable[Answer], now: float) -> None:
        """Take what runs at the new version's targets now, instead of what ran before.

        Parameters
        ----------
        answers : iterable of Answer
            Cut short, with the time that each has taken so far. Only those count that
            are slow already.
        now : float
            Seconds on the dispatcher's clock.
        """
        self._evidence.take_running(
            self._weigh(answer, False, measured)
            for answer in answers
            if answer.target not in self.faulty
            and (measured := self._measure(answer, True, now)) is not None
            and self._times.is_slow(answer.route, measured)
        )

    def _measure(self, answer: Answer, new: bool, now: float) -> Measured | None:
        return self._times.measure(
            answer.target,
            answer.route,
            answer.ratio,
            loaded=answer.loaded,
            learns=not new,
            is_whole=not answer.cut_short,
            now=now,
        )

    def _weigh(
        self, answer: Answer, failed: bool, measured: Measured | None
    ) -> WeighedAnswer:
        """Return an answer of the new version as evidence."""
        route = answer.route
        rate = self._rates.rate(route)
        keys = (route, ALL_ROUTES, UNDER_LOAD) if answer.loaded else (route, ALL_ROUTES)
        failures = tuple(log_ratio_of_failure(failed, rate, p) for p in EXCESSES)
        slowness = ()
        if measured is not None:
            slowness = tuple(
                self._times.log_ratio(route, measured, part, answer.loaded)
                for part in EXCESSES
            )
        return WeighedAnswer(answer.target, keys, failures, slowness)

    def judge(self, targets: int, now: float) -> str:
        """Return why the new version is worse; empty if that is not shown.

        Parameters
        ----------
        targets : int
            How many the new version has.
        now : float
            Seconds on the dispatcher's clock.
        """
        reason = self._reason(targets, now)
        return "" if reason and self._set_worst_aside(targets, 0) else reason

    def _set_worst_aside(self, targets: int, fewest_of_others: int) -> bool:
        """Set a target aside that is at fault by itself; whether there is one.

        Parameters
        ----------
        targets : int
            How many the new version has.
        fewest_of_others : int
            With fewer answers of the others nothing tells against the target's version.
        """
        if len(self.faulty) >= _tolerated_faults(targets):
            return False
        worst = self._worst_target()
        of_others = self._answers_at.total() - self._answers_at[worst]
        if not worst or of_others < fewest_of_others:
            return False
        self._set_aside(worst)
        return True

    def doubt(self, targets: int) -> str:
        """Return what hints that the new version is worse; empty if nothing does.

        Parameters
        ----------
        targets : int
            How many the new version has.
        """
        doubt = self._evidence.doubt()
        while doubt and self._set_worst_aside(targets, FEWEST_SOUND):
            doubt = self._evidence.doubt()
        faulty = len(self.faulty)
        if not doubt and 2 * faulty >= max(2, targets):
            return "half of its targets are at fault"
        if not doubt and faulty > 1 and 3 * faulty >= len(self._new):
            return "a third of the targets that were tried are at fault"
        return doubt

    def _set_aside(self, target: str) -> None:
        """Count the answers of a target no more that is at fault by itself."""
        self.faulty.add(target)
        self._evidence.set_aside(target)
        for counts in (self._bad_at, self._answers_at):
            del counts[target]

    def _worst_target(self) -> str:
        """Return the target that is at fault by itself; empty if none is."""
        bad = self._bad_at + self._evidence.slow_running
        worst = max(bad, key=bad.get, default="")
        answers = self._answers_at.total() - self._answers_at[worst]
        if answers < FEWEST_OF_OTHERS:
            return worst
        others = (bad.total() - bad[worst]) / answers
        own = bad[worst] / max(1, self._answers_at[worst])
        return worst if own > FAULTY_TIMES * others else ""

    def _reason(self, targets: int, now: float) -> str:
        if condemned := self._evidence.condemns(self._needed_part):
            return condemned
        if not self._is_slow_throughout(targets, now):
            self._slow_since = math.inf
            return ""
        self._slow_since = min(self._slow_since, now)
        return "slow throughout" if now >= self._slow_since + COLD_S else ""

    @property
    def _needed_part(self) -> float:
        """Part of the evidence that condemns the version now."""
        beyond = self.bad - USUAL_BAD * self.answers
        return REDUCED_PART if beyond >= MANY_BAD else 1.0

    def _is_of_same_crash(self, target: str, now: float) -> bool:
        """Whether a broken connection is not the first of a target's crash."""
        if now < self._broke.get(target, -math.inf) + CRASH_S:
            return True
        self._broke[target] = now
        return False

    def _is_slow_throughout(self, targets: int, now: float) -> bool:
        """Whether the new version's targets are all much slower than the others."""
        known = self._times.fast_ratios(now)
        new = [math.log(ratio) for name, ratio in known.items() if name in self._new]
        old = [math.log(r) for name, r in known.items() if name not in self._new]
        if len(new) < min(TARGETS_THROUGHOUT, targets) or not old:
            return False
        return min(new) - sum(old) / len(old) > math.log(SLOW_THROUGHOUT)


def _tolerated_faults(targets: int) -> int:
    """Return how many targets of a version may be at fault by themselves."""
    return sum(targets >= least for least in FAULTS_FROM_TARGETS)
