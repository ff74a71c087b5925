"""hibiscusstep.routing.estimate: one target, learnt from its answers."""

from collections import OrderedDict
from dataclasses import dataclass, field

from hibiscusstep.routing.messages import Work

__all__ = ["Running", "TargetState"]

LEARN = 0.3
LONG_PREFILL_S = 0.25
NEARLY_DONE_S = 0.1
MIN_RATE = 1e-3
MAX_STEP = 4.0
MIN_LEARNABLE_S = 0.05
FULL_WEIGHT_S = 1.0
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
PREFIX_SIZES = (
    256,
    512,
    1024,
    1536,
    2048,
    3072,
    4096,
    6144,
    8192,
    12288,
    16384,
    32768,
    65536,
)
CACHE_TOKENS = 60_000
CACHE_LOST_FACTOR = 1.5


@dataclass(slots=True, eq=False)
class Running:
    """A granted request.

    Parameters
    ----------
    work : Work
        The request.
    granted : float
        When, in seconds on the dispatcher's clock.
    uncached, ahead : int
        Prompt tokens that the target is expected to compute; those granted before
        whose first token had not come.
    predicted_first : float
        Expected seconds to the first token.
    first : float or None
        When the first token came.
    first_seconds : float
        Seconds from the dispatch to it, 0 if not known.
    stopping : bool
        Whether it was told to stop.
    """

    work: Work
    granted: float
    uncached: int
    ahead: int
    predicted_first: float
    first: float | None = None
    first_seconds: float = 0.0
    stopping: bool = False


@dataclass(slots=True, eq=False)
class TargetState:
    """One target as its dispatcher knows it.

    Parameters
    ----------
    name : str
        The target.
    max_running : int
        Requests that may run at once.
    prefill_rate, decode_rate : float
        Tokens a second, learnt; the first from the configuration.
    drained, leaving, reachable : bool
        The operator's mark, the target's own notice, the last report.
    reported : int
        Load by the last report, running and waiting.
    """

    name: str
    max_running: int
    prefill_rate: float
    decode_rate: float
    drained: bool = False
    leaving: bool = False
    reachable: bool = True
    reported: int = 0
    running: dict[str, Running] = field(default_factory=dict)
    suspect_until: float = 0.0
    failures: int = 0
    _prefixes: OrderedDict = field(default_factory=OrderedDict)
    _prefix_tokens: int = 0

    def usable(self, now: float) -> bool:
        """Whether new work may go there."""
        if self.drained or self.leaving or not self.reachable:
            return False
        if not self.failures:
            return True
        return now >= self.suspect_until and not self.running

    @property
    def free(self) -> int:
        """Requests that may be added."""
        return self.max_running - len(self.running)

    @property
    def prefilling(self) -> int:
        """Prompt tokens granted whose first token has not come."""
        return sum(run.uncached for run in self.running.values() if run.first is None)

    @property
    def held_up(self) -> bool:
        """Whether it computes prompts for so long that short work should not wait."""
        return self.prefilling / self.prefill_rate > LONG_PREFILL_S + NEARLY_DONE_S

    def cached_tokens(self, work: Work) -> int:
        """Prompt tokens that the target is thought to have cached."""
        if not work.prefixes or not self._prefixes:
            return 0
        sizes = [
            size
            for size, prefix in zip(PREFIX_SIZES, work.prefixes, strict=False)
            if prefix in self._prefixes
        ]
        return min(max(sizes, default=0), work.prompt_tokens)

    def seconds_to_first(self, work: Work) -> float:
        """Return the expected seconds to the first token if granted now."""
        uncached = work.prompt_tokens - self.cached_tokens(work)
        return (self.prefilling + uncached) / self.prefill_rate

    def seconds_to_end(self, work: Work) -> float:
        """Return the expected seconds to the last token if granted now."""
        return self.seconds_to_first(work) + work.output_tokens / self.decode_rate

    def seconds_left(self, run: Running, now: float) -> float:
        """Return the expected seconds until a running request ends."""
        decode = run.work.output_tokens / self.decode_rate
        if run.first is not None:
            return max(0.0, run.first + decode - now)
        return max(0.0, run.granted + run.predicted_first - now) + decode

    def grant(self, work: Work, now: float) -> None:
        """Count a request as running here."""
        uncached = max(0, work.prompt_tokens - self.cached_tokens(work))
        self.running[work.ask] = Running(
            work, now, uncached, self.prefilling, self.seconds_to_first(work)
        )
        self._remember(work)

    def first_token(self, ask: str, seconds: float, now: float) -> None:
        """Take note that the first token came `seconds` after the dispatch."""
        run = self.running.get(ask)
        if run is not None and run.first is None:
            run.first = now
            run.first_seconds = seconds

    def done(self, ask: str, tokens: int, seconds: float, computed: int = -1) -> None:
        """Learn from a whole answer; the target is well again.

        Parameters
        ----------
        ask : str
            The grant.
        tokens : int
            Of the answer.
        seconds : float
            As `decode_seconds` of `hibiscusstep.routing.messages.Finished`.
        computed : int
            Prompt tokens that the target says it computed, -1 if it does not say.
        """
        run = self.running.pop(ask, None)
        self.failures = 0
        if run is None:
            return
        self._learn_prefill(run, run.uncached if computed < 0 else computed)
        self._learn_decode(run, tokens, seconds)
        if computed > CACHE_LOST_FACTOR * run.uncached + PREFIX_SIZES[0]:
            self._forget_prefixes(run.work)

    def _learn_prefill(self, run: Running, computed: int) -> None:
        """Learn from the time to the first token.

        A step of decoding passes besides; a long prefill teaches more than a short.
        """
        expected = (run.ahead + computed) / self.prefill_rate
        if expected < MIN_LEARNABLE_S or not run.first_seconds or run.ahead > computed:
            return
        prefill = max(MIN_LEARNABLE_S, run.first_seconds - 1 / self.decode_rate)
        weight = LEARN * min(1.0, expected / FULL_WEIGHT_S)
        rate = self.prefill_rate * _clip(expected / prefill) ** weight
        self.prefill_rate = max(MIN_RATE, rate)

    def _learn_decode(self, run: Running, tokens: int, seconds: float) -> None:
        if tokens < 2 or not seconds:
            return
        if seconds > 0:
            ratio = (tokens - 1) / seconds / self.decode_rate
        else:
            expected = run.predicted_first + tokens / self.decode_rate
            ratio = expected / -seconds
        rate = self.decode_rate * _clip(ratio) ** LEARN
        self.decode_rate = max(MIN_RATE, rate)

    def failed(self, ask: str, now: float) -> None:
        """Mark the target: nothing for a while, then one request at a time."""
        self.running.pop(ask, None)
        self.failures += 1
        backoff = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (self.failures - 1))
        self.suspect_until = now + backoff

    def forget(self, ask: str) -> None:
        """Drop a request that told nothing of the target."""
        self.running.pop(ask, None)

    def _forget_prefixes(self, work: Work) -> None:
        for prefix in work.prefixes:
            self._prefix_tokens -= self._prefixes.pop(prefix, 0)

    def _remember(self, work: Work) -> None:
        previous = 0
        for size, prefix in zip(PREFIX_SIZES, work.prefixes, strict=False):
            added = size - previous
            previous = size
            if prefix in self._prefixes:
                self._prefixes.move_to_end(prefix)
                continue
            self._prefixes[prefix] = added
            self._prefix_tokens += added
        while self._prefix_tokens > CACHE_TOKENS:
            self._prefix_tokens -= self._prefixes.popitem(last=False)[1]


def _clip(ratio: float) -> float:
    return min(MAX_STEP, max(1 / MAX_STEP, ratio))
