"""hibiscusstep.routing.slot_target: one target with slots, learnt from its answers."""

from dataclasses import dataclass, field

from hibiscusstep.routing import messages as m

__all__ = ["Run", "SlotTarget"]

# Weight of a new observation, once there are enough.
LEARNING_RATE = 0.1
MIN_SLOWNESS, MAX_SLOWNESS = 0.1, 12.0
# What the beginning of one answer may say: it holds a connection's time too.
MIN_FIRST_TOKEN_RATIO, MAX_FIRST_TOKEN_RATIO = 0.5, 4.0
FIRST_TOKEN_LEARNING_RATE = 0.5
# Weight of the work that runs at a target against the request's own; 0.6 measured the
# same.
RUNNING_WEIGHT = 0.3
# A target that cannot be reached or mostly fails rests, longer each time in a row
# (seconds, doubled); one that is full is asked again sooner.
INITIAL_BACKOFF_S = 0.5
REJECTED_BACKOFF_S = 0.1
MAX_BACKOFF_S = 4.0
# A target whose share of failures is above this would draw all work, since a failure
# leaves its slot sooner than an answer: reached by four failures in a row, or by some
# more of which a few are answers.
MAX_FAILURE_SHARE = 0.6
# Weight of a request's end in the share that fail; a target that fails always costs
# this many times more.
FAILURE_LEARNING_RATE = 0.25
FAILURE_COST_FACTOR = 3.0
# From this part of its slots on, a target is loaded.
LOADED_SHARE = 0.7
# Seconds for which the load that a target reported counts.
EXTERNAL_LOAD_TTL_S = 1.0


@dataclass(slots=True, eq=False)
class Run:
    """A granted request.

    Parameters
    ----------
    work : Work
        The request.
    granted : float
        When, on the dispatcher's clock.
    cost, prefill : float
        The guessed seconds of it, and of its prompt alone.
    began : bool
        Whether its first token came.
    alone : bool
        Whether no other prompt was read at the target meanwhile.
    expected_first : float
        The guessed seconds to its first token at slowness 1.
    beside : float
        The most guessed seconds of prompts that were to be read while it ran.
    adopted : bool
        Whether it was granted by another dispatcher, some time before `granted`.
    loaded : bool
        Whether most of the target's slots were taken when it was granted.
    """

    work: m.Work
    granted: float
    cost: float
    prefill: float
    began: bool = False
    alone: bool = True
    expected_first: float = 1.0
    beside: float = 0.0
    adopted: bool = False
    loaded: bool = False


@dataclass(slots=True, eq=False)
class SlotTarget:
    """One target as the dispatcher knows it.

    Parameters
    ----------
    name : str
        The target.
    slots : int
        Requests that it works on at once.
    leaving : bool
        Whether it takes no new work.
    slowness : float
        Seconds that work takes against the first guess, learnt.
    learnt : int
        Answers that it was learnt from.
    failing : float
        Share of requests that failed lately, learnt.
    rests : int
        Times that it rested since its last answer.
    rest_until : float
        When it may be tried again after a failure.
    foreign : int
        Requests there that this dispatcher did not grant, by the last report.
    data_centre : str
        Where it runs.
    version : str
        Of its software.
    """

    name: str
    slots: int
    leaving: bool = False
    slowness: float = 1.0
    learnt: int = 0
    failing: float = 0.0
    rests: int = 0
    rest_until: float = 0.0
    foreign: int = 0
    foreign_at: float = -10.0
    data_centre: str = ""
    version: str = ""
    running: dict[str, Run] = field(default_factory=dict)
    _ahead: float = 0.0
    _prefill_left: float = 0.0
    _prefill_at: float = -1.0

    def add(self, ask: str, run: Run) -> None:
        """Take note of a request that was granted."""
        reading = [other for other in self.running.values() if not other.began]
        for other in reading:
            other.alone = False
        to_read = self.remaining_prefill(run.granted) + run.prefill
        for other in self.running.values():
            other.beside = max(other.beside, to_read)
        run.alone = not reading
        self.running[ask] = run
        run.loaded = len(self.running) >= LOADED_SHARE * self.slots
        self._invalidate()

    def remove(self, ask: str) -> Run | None:
        """Take note of a request's end; None if it was not here."""
        run = self.running.pop(ask, None)
        self._invalidate()
        return run

    def mark_first_token(self, ask: str) -> Run | None:
        """Take note that a request's prompt has been read; None if it is not here."""
        run = self.running.get(ask)
        if run:
            run.began = True
            self._invalidate()
        return run

    def _invalidate(self) -> None:
        self._ahead = sum(run.cost for run in self.running.values())
        self._prefill_at = -1.0

    def usable(self, now: float) -> bool:
        """Whether new work may go there."""
        return not self.leaving and now >= self.rest_until

    @property
    def unassigned_slots(self) -> int:
        """Slots that the requests granted to it leave."""
        # One that mostly failed is tried with one request at a time.
        return (1 if self._is_failing else self.slots) - len(self.running)

    def available_slots(self, now: float) -> int:
        """Return how many more requests it can work on."""
        foreign = self.foreign if now - self.foreign_at < EXTERNAL_LOAD_TTL_S else 0
        return self.unassigned_slots - foreign

    def remaining_prefill(self, now: float) -> float:
        """Return the guessed seconds of prompts that it has still to read.

        Reckoned once a moment: a dispatcher weighs many requests for a target at once.
        """
        if now != self._prefill_at:
            self._prefill_at = now
            self._prefill_left = sum(
                max(0.0, run.prefill - (now - run.granted) / self.slowness)
                for run in self.running.values()
                if not run.began
            )
        return self._prefill_left

    def cost(self, own: float) -> float:
        """Return the weighed seconds for a request of `own` guessed seconds."""
        spent = self.slowness * (own + RUNNING_WEIGHT * self._ahead)
        return spent * (1 + FAILURE_COST_FACTOR * self.failing)

    def record_success(self) -> None:
        """Take note of a whole answer."""
        self.rests = 0
        self.failing *= 1 - FAILURE_LEARNING_RATE

    def observe_first_token(self, ratio: float) -> None:
        """Take an answer's beginning for the speed until an answer is whole."""
        ratio = min(MAX_FIRST_TOKEN_RATIO, max(MIN_FIRST_TOKEN_RATIO, ratio))
        self.slowness += FIRST_TOKEN_LEARNING_RATE * (ratio - self.slowness)

    def observe(self, ratio: float) -> None:
        """Learn from seconds that work took against the guess."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        self.learnt += 1
        weight = max(LEARNING_RATE, 1 / (1 + self.learnt))
        self.slowness += weight * (ratio - self.slowness)

    def record_failure(self, now: float) -> None:
        """Take note of a failure; a target that mostly fails rests."""
        self.failing += FAILURE_LEARNING_RATE * (1 - self.failing)
        if self._is_failing:
            self._back_off(now, INITIAL_BACKOFF_S)

    def record_unreachable(self, now: float) -> None:
        """Take note that the target could not be reached; it rests."""
        self.failing += FAILURE_LEARNING_RATE * (1 - self.failing)
        self._back_off(now, INITIAL_BACKOFF_S)

    def record_rejection(self, now: float) -> None:
        """Take note that the target did not take a request; it rests shortly."""
        self._back_off(now, REJECTED_BACKOFF_S)

    @property
    def _is_failing(self) -> bool:
        return self.failing >= MAX_FAILURE_SHARE

    def _back_off(self, now: float, initial: float) -> None:
        if self.usable(now):
            backoff = initial * 2 ** min(8, self.rests)
            self.rests += 1
            self.rest_until = now + min(MAX_BACKOFF_S, backoff)

    def summary(self, now: float) -> str:
        """Return the state in a few words, for the log."""
        parts = [
            f"{len(self.running)}/{self.slots}",
            f"x{self.slowness:.2f}",
            f"f{self.failing:.2f}",
        ]
        if self.leaving:
            parts.append("leaving")
        if now < self.rest_until:
            parts.append("resting")
        return " ".join(parts)
