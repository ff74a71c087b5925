"""hibiscusstep.load.emulated_target: answers of an emulated target in virtual time."""

from dataclasses import dataclass, field

import numpy as np

from hibiscusstep.load.rollout_scenario import (
    NEW_VERSION,
    OLD_VERSION,
    ORDER_AT_S,
    SLOWDOWN_PER_REQUEST,
    Defect,
    EmulatedRoute,
    RolloutScenario,
)
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.engine_model import ENGINE_STEP_S
from hibiscusstep.routing.target_selector import PLAIN_REQUEST_S

__all__ = [
    "CALLER_TIMEOUT_S",
    "PROMPT_TOKENS",
    "TOKENS_PER_EVENT",
    "EmulatedRun",
    "EmulatedTarget",
]

TOKENS_PER_EVENT = 6
PROMPT_TOKENS = 500
# Seconds to the first token of an idle engine, and its prefill rate.
FIRST_TOKEN_S = 0.014
PREFILL_TOKENS_PER_S = 48_200
# Minimum seconds of an answer of a plain service, and of a failed request.
MIN_SERVICE_S, MIN_FAILURE_S = 0.005, 0.01
# Callers cancel a request after this time.
CALLER_TIMEOUT_S = 8.0
# Share of requests that a grey target fails, and the slowdown of a slow target.
GREY_FAILURE_SHARE, SLOW_TARGET_FACTOR = 0.4, 3.0


@dataclass(frozen=True, slots=True)
class EmulatedRun:
    """Course of a request at a target.

    Parameters
    ----------
    outcome : GrantOutcome
        How the request ends.
    first, seconds : float
        Seconds to its first token (0 for none), and to its end.
    events : int
        Events of its answer.
    is_bad : bool
        Whether the answer is a bad one of the new version.
    """

    outcome: m.GrantOutcome
    first: float
    seconds: float
    events: int
    is_bad: bool


@dataclass(slots=True, eq=False)
class EmulatedTarget:
    """A target in a rollout scenario.

    Parameters
    ----------
    name, version : str
        Name and version of the target.
    slowness : float
        Slowness of its hardware.
    scenario : RolloutScenario
        The scenario.
    rng : numpy.random.Generator
        Random numbers for the answers of all targets.
    running : dict of str to Work
        Running requests.
    down_until : float
        Time at which it has recovered from a crash.
    """

    name: str
    version: str
    slowness: float
    scenario: RolloutScenario
    rng: np.random.Generator
    running: dict[str, m.Work] = field(default_factory=dict)
    down_until: float = 0.0

    def begin(
        self, work: m.Work, route: EmulatedRoute, size: float, now: float
    ) -> EmulatedRun:
        """Start a request and return its course.

        Parameters
        ----------
        work : Work
            The request.
        route : EmulatedRoute
            Its route.
        size : float
            Tokens of its answer, or its seconds at a plain service of slowness 1.
        now : float
            Emulated time in seconds.
        """
        scenario = self.scenario
        bad = self._is_bad(route, now)
        self.running[work.ask] = work
        slow = bad and scenario.defect is Defect.SLOW
        first, seconds, events = self._times(
            size, scenario.slow_factor if slow else 1.0, now
        )
        failed = self.rng.random() < route.error_share or self._has_grey_failure(now)
        failed |= bad and scenario.defect is Defect.FAILS
        outcome = m.GrantOutcome.FAILED if failed else m.GrantOutcome.DONE
        if failed:
            seconds = min(seconds, max(MIN_FAILURE_S, 0.5 * PLAIN_REQUEST_S))
            events = 0
        if seconds > CALLER_TIMEOUT_S:
            seconds, outcome = CALLER_TIMEOUT_S, m.GrantOutcome.CANCELLED
        is_bad = bad and self.version == NEW_VERSION
        return EmulatedRun(outcome, first, seconds, events, is_bad)

    def _times(
        self, size: float, factor: float, now: float
    ) -> tuple[float, float, int]:
        """Return the seconds to the first token and to the end, and the events."""
        load_factor = 1 + SLOWDOWN_PER_REQUEST * (len(self.running) - 1)
        time_factor = self.slowness * load_factor * self._slowdown(now) * factor
        if not self.scenario.engine:
            return 0.0, max(MIN_SERVICE_S, size) * time_factor, 0
        first = (FIRST_TOKEN_S + PROMPT_TOKENS / PREFILL_TOKENS_PER_S) * time_factor
        events = max(1, round(size / TOKENS_PER_EVENT))
        seconds = first + events * TOKENS_PER_EVENT * ENGINE_STEP_S * time_factor
        return first, seconds, events

    def _is_bad(self, route: EmulatedRoute, now: float) -> bool:
        scenario = self.scenario
        if self.version == OLD_VERSION or scenario.defect is Defect.NONE:
            return False
        if now < ORDER_AT_S + scenario.defect_after_s:
            return False
        if scenario.under_load and len(self.running) < 0.7 * scenario.slots:
            return False
        if scenario.defect_route and route.name != scenario.defect_route:
            return False
        return bool(self.rng.random() < scenario.defect_share)

    def _slowdown(self, now: float) -> float:
        factor = SLOW_TARGET_FACTOR if self._is_affected("slow", now) else 1.0
        scenario = self.scenario
        if self.version == NEW_VERSION and now < ORDER_AT_S - 1.0 + scenario.warm_up_s:
            factor *= scenario.warm_up_factor
        return factor

    def _has_grey_failure(self, now: float) -> bool:
        return self._is_affected("grey", now) and self.rng.random() < GREY_FAILURE_SHARE

    def _is_affected(self, kind: str, now: float) -> bool:
        return any(
            d.kind == kind and d.at <= now < d.at + d.seconds and self.name in d.targets
            for d in self.scenario.disturbances
        )
