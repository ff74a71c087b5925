"""hibiscusstep.routing.engine_model: learned service times of a pool's engines."""

import math
from dataclasses import InitVar, dataclass, field

__all__ = ["AnswerLengths", "EngineModel", "PrefillChunk", "ServiceTimes"]

# Initial estimates, from one engine in use: seconds to a first token, prompt tokens per
# second of prefill, and seconds per output token with half of the slots taken. The
# first two are learned for each pool. The slowness of each target is learned too: how
# many times as long as the third a token takes there.
FIRST_TOKEN_S = 0.014
PREFILL_TOKENS_PER_S = 48_200.0
ENGINE_STEP_S = 0.0031
# Weight of the initial estimate, in answers, split between a short and a long prompt.
# If the engine differs from that one, its first few answers prevail.
PRIOR_ANSWERS = 1.0
PRIOR_PROMPTS = (200.0, 6000.0)
# Factor by which each new observation reduces the weight of older ones: half after
# about 140 answers.
RETENTION = 0.995
# Bounds of the estimates, against single outliers.
MIN_FIRST_S, MAX_FIRST_S = 0.001, 2.0
MIN_TOKEN_S, MAX_TOKEN_S = 1e-7, 1e-3


@dataclass(slots=True)
class EngineModel:
    """Time to the first token of an answer at slowness 1, in seconds.

    A linear regression over the number of prompt tokens, from observations without any
    other prefill at the target. With the initial estimate alone, an engine with a
    faster prefill had long prompts estimated at more than twice their time, so that
    slow targets did not get prompts which they could have processed in time.
    """

    _weight: float = 0.0
    _x: float = 0.0
    _xx: float = 0.0
    _y: float = 0.0
    _xy: float = 0.0
    base_seconds: float = FIRST_TOKEN_S
    seconds_per_token: float = 1.0 / PREFILL_TOKENS_PER_S
    observations: int = 0

    def __post_init__(self) -> None:
        """Start from the initial estimate."""
        self.reset(self.base_seconds, self.seconds_per_token)

    def reset(self, first: float, token: float) -> None:
        """Restart from other initial estimates, in seconds, of another dispatcher."""
        self.base_seconds, self.seconds_per_token = first, token
        self._weight = self._x = self._xx = self._y = self._xy = 0.0
        for prompt in PRIOR_PROMPTS:
            weight = PRIOR_ANSWERS / len(PRIOR_PROMPTS)
            self._add(prompt, first + prompt * token, weight)

    def prefill_seconds(self, prompt_tokens: int) -> float:
        """Return the prefill time of a prompt in seconds."""
        return prompt_tokens * self.seconds_per_token

    def answer_seconds(self, prompt_tokens: int, output_tokens: float) -> float:
        """Return the time of a complete answer in seconds."""
        return (
            self.base_seconds
            + self.prefill_seconds(prompt_tokens)
            + output_tokens * ENGINE_STEP_S
        )

    def observe(self, prompt_tokens: int, seconds: float) -> None:
        """Update the estimates by a time to the first token, scaled to slowness 1."""
        for name in ("_weight", "_x", "_xx", "_y", "_xy"):
            setattr(self, name, RETENTION * getattr(self, name))
        self.observations += 1
        self._add(prompt_tokens, seconds, 1.0)
        spread = self._weight * self._xx - self._x**2
        if spread <= 0:
            return
        token = (self._weight * self._xy - self._x * self._y) / spread
        self.seconds_per_token = min(MAX_TOKEN_S, max(MIN_TOKEN_S, token))
        first = (self._y - self.seconds_per_token * self._x) / self._weight
        self.base_seconds = min(MAX_FIRST_S, max(MIN_FIRST_S, first))

    def _add(self, prompt: float, seconds: float, weight: float) -> None:
        self._weight += weight
        self._x += weight * prompt
        self._xx += weight * prompt**2
        self._y += weight * seconds
        self._xy += weight * prompt * seconds


# Weight of a new observation of a log-normal ratio: about 20 observations count.
RATIO_LEARNING_RATE = 0.05


@dataclass(slots=True)
class LogNormalRatio:
    """Running estimate of a log-normally distributed ratio.

    Parameters
    ----------
    spread : float
        Initial standard deviation of the ratio's logarithm.
    """

    spread: InitVar[float]
    _mean: float = 0.0
    _variance: float = field(init=False)

    def __post_init__(self, spread: float) -> None:
        """Start from the initial estimate."""
        self._variance = spread**2

    def observe(self, ratio: float) -> None:
        """Update the estimate by an observation."""
        value = math.log(ratio)
        self._mean += RATIO_LEARNING_RATE * (value - self._mean)
        squared_error = (value - self._mean) ** 2
        self._variance += RATIO_LEARNING_RATE * (squared_error - self._variance)

    def above_median(self, deviations: float) -> float:
        """Return the ratio at a number of standard deviations above the median."""
        return math.exp(self._mean + deviations * math.sqrt(self._variance))


# Initial spread of an answer's length relative to its hint, and the number of standard
# deviations for the upper bound: four of five answers are shorter.
INITIAL_LENGTH_SPREAD = 0.5
LENGTH_DEVIATIONS = 0.84


@dataclass(slots=True)
class AnswerLengths:
    """Learned ratio of the lengths of answers to the callers' hints.

    The median of the hints is right, but many are far off.
    """

    _ratio: LogNormalRatio = field(
        default_factory=lambda: LogNormalRatio(INITIAL_LENGTH_SPREAD)
    )

    def observe(self, expected: int, tokens: int) -> None:
        """Update the estimate by a complete answer."""
        self._ratio.observe(max(1, tokens) / max(1, expected))

    def upper_bound(self, expected: int) -> float:
        """Return a length in tokens that four of five answers do not exceed."""
        return expected * self._ratio.above_median(LENGTH_DEVIATIONS)


# Initial spread of a plain service's times relative to the mean of the target, and the
# number of standard deviations for the upper bound: nine of ten are shorter. The
# minimum ratio is used for times below the resolution of the clock.
INITIAL_SERVICE_SPREAD = 0.4
SERVICE_DEVIATIONS = 1.28
MIN_SERVICE_RATIO = 1e-3


@dataclass(slots=True)
class ServiceTimes:
    """Learned ratio of a plain service's service times to their mean."""

    _ratio: LogNormalRatio = field(
        default_factory=lambda: LogNormalRatio(INITIAL_SERVICE_SPREAD)
    )

    def observe(self, ratio: float) -> None:
        """Update the estimate by the ratio of a service time to the target's mean."""
        self._ratio.observe(max(MIN_SERVICE_RATIO, ratio))

    @property
    def upper_ratio(self) -> float:
        """Multiple of the mean that nine of ten requests do not exceed."""
        return self._ratio.above_median(SERVICE_DEVIATIONS)


# Engines process prompts in chunks between the tokens of other streams. Until a chunk
# has been observed, a prompt of any length is assumed to be processed between two
# events.
UNKNOWN_CHUNK_S = 10.0
# A prefill of this many seconds takes many chunks, so that a stream is delayed by a
# full one. The second value is the lower bound of the estimated seconds of a chunk.
MULTI_CHUNK_S = 0.2
MIN_CHUNK_S = 0.005
# Weight of a new observation. It is larger for a pause above the estimate, since pauses
# that are too long for callers must be rare.
CHUNK_INCREASE_RATE, CHUNK_DECREASE_RATE = 0.2, 0.05


@dataclass(slots=True)
class PrefillChunk:
    """Learned seconds of prefill between two events of a stream, at slowness 1.

    An engine processes no more than a chunk of a prompt per step, however long the
    prompt is. With a chunk estimated at half its size, one in seven answers of the slow
    targets had a pause beyond its route's limit.
    """

    max_seconds: float = UNKNOWN_CHUNK_S

    def between_events(self, prefill_seconds: float) -> float:
        """Return the seconds of pending prefill that run between two events."""
        return min(self.max_seconds, prefill_seconds)

    def observe(self, pause: float, prefill_seconds: float) -> None:
        """Update the estimate by the longest pause of an answer.

        Parameters
        ----------
        pause : float
            The pause in seconds, without the time of the tokens.
        prefill_seconds : float
            Maximum pending prefill beside the answer, in seconds. Less than the
            estimated chunk says nothing about its size.
        """
        if prefill_seconds < min(self.max_seconds, MULTI_CHUNK_S):
            return
        if self.max_seconds == UNKNOWN_CHUNK_S:
            self.max_seconds = max(MIN_CHUNK_S, pause)
            return
        weight = (
            CHUNK_INCREASE_RATE if pause > self.max_seconds else CHUNK_DECREASE_RATE
        )
        self.max_seconds = max(
            MIN_CHUNK_S, self.max_seconds + weight * (pause - self.max_seconds)
        )
