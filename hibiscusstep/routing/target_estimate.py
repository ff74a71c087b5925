"""hibiscusstep.routing.target_estimate: performance estimates of one target."""

from collections import OrderedDict
from dataclasses import dataclass, field

from hibiscusstep.routing.messages import Work

__all__ = ["RunningRequest", "TargetEstimate"]

# Weight of a new observation of a rate.
LEARNING_RATE = 0.3
# A longer prefill counts as long. A target with more pending prefill than the sum of
# both is blocked for short requests.
LONG_PREFILL_S = 0.25
PREFILL_MARGIN_S = 0.1
# Minimum of the learned rates in tokens per second, and the maximum factor by which an
# observation may differ from the estimate.
MIN_RATE = 1e-3
MAX_RATIO = 4.0
# Shorter prefills are not learned from; from the second value on they have full weight.
MIN_LEARNABLE_PREFILL_S = 0.05
FULL_WEIGHT_PREFILL_S = 1.0
# Backoff after a failure; it doubles with each failure in a row.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
# Sizes in tokens of the prompt prefixes whose hashes are in `Work.prefixes`.
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
# Assumed size of a target's prefix cache in tokens.
CACHE_TOKENS = 60_000
# If a target computed more than this multiple of the expected prompt tokens, plus the
# smallest prefix, the request's prefixes are no longer considered cached there.
CACHE_MISS_FACTOR = 1.5


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A granted request; times are seconds on the dispatcher's clock.

    Parameters
    ----------
    work : Work
        The request.
    granted_at : float
        Time of the grant.
    uncached, prefill_tokens_ahead : int
        Prompt tokens that the target is expected to compute for it, and those of
        earlier grants whose prefill was not finished at the time of the grant.
    predicted_first_token_s : float
        Expected seconds to the first token.
    first_token_at : float or None
        Time of the first token.
    first_token_s : float
        Seconds from the dispatch to the first token, 0 if not known.
    stopping : bool
        Whether a stop was requested.
    """

    work: Work
    granted_at: float
    uncached: int
    prefill_tokens_ahead: int
    predicted_first_token_s: float
    first_token_at: float | None = None
    first_token_s: float = 0.0
    stopping: bool = False


@dataclass(slots=True, eq=False)
class TargetEstimate:
    """State and estimates of one target.

    Parameters
    ----------
    name : str
        Name of the target.
    max_running : int
        Maximum number of concurrent requests.
    prefill_rate, decode_rate : float
        Estimated tokens per second; the initial values are from the configuration.
    drained, leaving, reachable : bool
        Whether an operator drained it, it announced its shutdown, and the last poll
        reached it.
    reported_load : int
        Running and waiting requests in its last load report.
    """

    name: str
    max_running: int
    prefill_rate: float
    decode_rate: float
    drained: bool = False
    leaving: bool = False
    reachable: bool = True
    reported_load: int = 0
    running: dict[str, RunningRequest] = field(default_factory=dict)
    backoff_until: float = 0.0
    failures: int = 0
    _prefixes: OrderedDict = field(default_factory=OrderedDict)
    _prefix_tokens: int = 0

    def usable(self, now: float) -> bool:
        """Whether it may be granted new requests."""
        if self.drained or self.leaving or not self.reachable:
            return False
        if not self.failures:
            return True
        return now >= self.backoff_until and not self.running

    @property
    def free(self) -> int:
        """Number of free slots."""
        return self.max_running - len(self.running)

    @property
    def pending_prefill_tokens(self) -> int:
        """Expected prompt tokens still to be computed by running requests."""
        return sum(
            run.uncached for run in self.running.values() if run.first_token_at is None
        )

    @property
    def prefill_blocked(self) -> bool:
        """Whether its prefill backlog is too long for short requests to wait for."""
        return (
            self.pending_prefill_tokens / self.prefill_rate
            > LONG_PREFILL_S + PREFILL_MARGIN_S
        )

    def cached_tokens(self, work: Work) -> int:
        """Return how many prompt tokens the target probably has in its cache."""
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
        return (self.pending_prefill_tokens + uncached) / self.prefill_rate

    def seconds_to_end(self, work: Work) -> float:
        """Return the expected seconds to the last token if granted now."""
        return self.seconds_to_first(work) + work.output_tokens / self.decode_rate

    def remaining_seconds(self, run: RunningRequest, now: float) -> float:
        """Return the expected seconds until a running request ends."""
        decode = run.work.output_tokens / self.decode_rate
        if run.first_token_at is not None:
            return max(0.0, run.first_token_at + decode - now)
        return max(0.0, run.granted_at + run.predicted_first_token_s - now) + decode

    def grant(self, work: Work, now: float) -> None:
        """Record a request as running on this target."""
        uncached = max(0, work.prompt_tokens - self.cached_tokens(work))
        self.running[work.ask] = RunningRequest(
            work,
            now,
            uncached,
            self.pending_prefill_tokens,
            self.seconds_to_first(work),
        )
        self._add_prefixes(work)

    def first_token(self, ask: str, seconds: float, now: float) -> None:
        """Record the first token, which arrived `seconds` after the dispatch."""
        run = self.running.get(ask)
        if run is not None and run.first_token_at is None:
            run.first_token_at = now
            run.first_token_s = seconds

    def done(self, ask: str, tokens: int, seconds: float, computed: int = -1) -> None:
        """Update the estimates from a complete answer and reset the failure count.

        Parameters
        ----------
        ask : str
            Id of the grant.
        tokens : int
            Tokens of the answer.
        seconds : float
            As `decode_seconds` of `hibiscusstep.routing.messages.Finished`.
        computed : int
            Prompt tokens that the target reports as computed, -1 if not reported.
        """
        run = self.running.pop(ask, None)
        self.failures = 0
        if run is None:
            return
        self._update_prefill_rate(run, run.uncached if computed < 0 else computed)
        self._update_decode_rate(run, tokens, seconds)
        if computed > CACHE_MISS_FACTOR * run.uncached + PREFIX_SIZES[0]:
            self._remove_prefixes(run.work)

    def _update_prefill_rate(self, run: RunningRequest, computed: int) -> None:
        """Update the prefill rate from the time to the first token.

        That time includes one decoding step. Longer prefills have more weight.
        """
        expected = (run.prefill_tokens_ahead + computed) / self.prefill_rate
        if (
            expected < MIN_LEARNABLE_PREFILL_S
            or not run.first_token_s
            or run.prefill_tokens_ahead > computed
        ):
            return
        prefill = max(MIN_LEARNABLE_PREFILL_S, run.first_token_s - 1 / self.decode_rate)
        weight = LEARNING_RATE * min(1.0, expected / FULL_WEIGHT_PREFILL_S)
        rate = self.prefill_rate * _clamp(expected / prefill) ** weight
        self.prefill_rate = max(MIN_RATE, rate)

    def _update_decode_rate(
        self, run: RunningRequest, tokens: int, seconds: float
    ) -> None:
        if tokens < 2 or not seconds:
            return
        if seconds > 0:
            ratio = (tokens - 1) / seconds / self.decode_rate
        else:
            expected = run.predicted_first_token_s + tokens / self.decode_rate
            ratio = expected / -seconds
        rate = self.decode_rate * _clamp(ratio) ** LEARNING_RATE
        self.decode_rate = max(MIN_RATE, rate)

    def failed(self, ask: str, now: float) -> None:
        """Back off: no requests for a while, then one at a time until one succeeds."""
        self.running.pop(ask, None)
        self.failures += 1
        backoff = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (self.failures - 1))
        self.backoff_until = now + backoff

    def discard(self, ask: str) -> None:
        """Drop a request whose end says nothing about the target."""
        self.running.pop(ask, None)

    def _remove_prefixes(self, work: Work) -> None:
        for prefix in work.prefixes:
            self._prefix_tokens -= self._prefixes.pop(prefix, 0)

    def _add_prefixes(self, work: Work) -> None:
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


def _clamp(ratio: float) -> float:
    return min(MAX_RATIO, max(1 / MAX_RATIO, ratio))
