"""hibiscusstep.load.emulated_target: how a drawn target answers, in virtual time."""

from dataclasses import dataclass, field

import numpy as np

from hibiscusstep.load.drawn_rollout import (
    CROWDING,
    NEW,
    OLD,
    ORDER_AT_S,
    Badness,
    DrawnRollout,
    Route,
)
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.engine_model import STEP_S
from hibiscusstep.routing.slot_choice import PLAIN_SERVICE_S

__all__ = [
    "PATIENCE_S",
    "PROMPT_TOKENS",
    "TOKENS_PER_EVENT",
    "EmulatedRun",
    "EmulatedTarget",
]

TOKENS_PER_EVENT = 6
PROMPT_TOKENS = 500
# Seconds to a first token of an idle engine, and prompt tokens that it reads a second.
FIRST_TOKEN_S = 0.014
PREFILL_TOKENS_PER_S = 48_200
# The shortest answer of a plain service, and of one that fails.
LEAST_SERVICE_S, LEAST_FAILURE_S = 0.005, 0.01
# Callers are gone after so many seconds.
PATIENCE_S = 8.0
# A target that fails part of its requests, and one that is slow for a while.
GREY_SHARE, SLOWED = 0.4, 3.0


@dataclass(frozen=True, slots=True)
class EmulatedRun:
    """How a request goes at a target.

    Parameters
    ----------
    outcome : Outcome
        How it ends.
    first, seconds : float
        Seconds to its first token (0 for none), and to its end.
    events : int
        Of its answer.
    is_bad : bool
        Whether it is a bad answer of the new version.
    """

    outcome: m.Outcome
    first: float
    seconds: float
    events: int
    is_bad: bool


@dataclass(slots=True, eq=False)
class EmulatedTarget:
    """A target of a drawn roll-out.

    Parameters
    ----------
    name, version : str
        Which one, and of what.
    slowness : float
        Of its hardware.
    drawn : DrawnRollout
        What is played.
    draw : numpy.random.Generator
        Of the answers of all targets.
    running : dict of str to Work
        What it works on.
    down_until : float
        When it is back after a crash.
    """

    name: str
    version: str
    slowness: float
    drawn: DrawnRollout
    draw: np.random.Generator
    running: dict[str, m.Work] = field(default_factory=dict)
    down_until: float = 0.0

    def begin(self, work: m.Work, route: Route, size: float, now: float) -> EmulatedRun:
        """Take a request; return how it will go.

        Parameters
        ----------
        work : Work
            The request.
        route : Route
            Its kind.
        size : float
            Tokens of its answer, or seconds at a plain service of slowness 1.
        now : float
            Seconds on the emulator's clock.
        """
        drawn = self.drawn
        bad = self._is_bad(route, now)
        self.running[work.ask] = work
        slow = bad and drawn.badness is Badness.SLOW
        first, seconds, events = self._times(size, drawn.factor if slow else 1.0, now)
        failed = self.draw.random() < route.error_share or self._is_grey(now)
        failed |= bad and drawn.badness is Badness.FAILS
        outcome = m.Outcome.FAILED if failed else m.Outcome.DONE
        if failed:
            seconds = min(seconds, max(LEAST_FAILURE_S, 0.5 * PLAIN_SERVICE_S))
            events = 0
        if seconds > PATIENCE_S:
            seconds, outcome = PATIENCE_S, m.Outcome.CANCELLED
        is_bad = bad and self.version == NEW
        return EmulatedRun(outcome, first, seconds, events, is_bad)

    def _times(
        self, size: float, factor: float, now: float
    ) -> tuple[float, float, int]:
        """Return the seconds to the first token and the end, and the events."""
        crowd = 1 + CROWDING * (len(self.running) - 1)
        pace = self.slowness * crowd * self._slowed(now) * factor
        if not self.drawn.engine:
            return 0.0, max(LEAST_SERVICE_S, size) * pace, 0
        first = (FIRST_TOKEN_S + PROMPT_TOKENS / PREFILL_TOKENS_PER_S) * pace
        events = max(1, round(size / TOKENS_PER_EVENT))
        seconds = first + events * TOKENS_PER_EVENT * STEP_S * pace
        return first, seconds, events

    def _is_bad(self, route: Route, now: float) -> bool:
        drawn = self.drawn
        if self.version == OLD or drawn.badness is Badness.NONE:
            return False
        if now < ORDER_AT_S + drawn.begins:
            return False
        if drawn.under_load and len(self.running) < 0.7 * drawn.slots:
            return False
        if drawn.route and route.name != drawn.route:
            return False
        return bool(self.draw.random() < drawn.part)

    def _slowed(self, now: float) -> float:
        slow = SLOWED if self._is_hit("slow", now) else 1.0
        drawn = self.drawn
        if self.version == NEW and now < ORDER_AT_S - 1.0 + drawn.cold_s:
            slow *= drawn.cold
        return slow

    def _is_grey(self, now: float) -> bool:
        return self._is_hit("grey", now) and self.draw.random() < GREY_SHARE

    def _is_hit(self, kind: str, now: float) -> bool:
        return any(
            d.kind == kind and d.at <= now < d.at + d.seconds and self.name in d.targets
            for d in self.drawn.disturbances
        )
