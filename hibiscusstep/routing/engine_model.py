"""hibiscusstep.routing.engine_model: how long a pool's engines take, learnt."""

import math
from dataclasses import InitVar, dataclass, field

__all__ = ["AnswerLengths", "EngineModel", "PrefillChunk", "ServiceTimes"]

# First guesses, of one engine in use: seconds before a first token, prompt tokens read
# in a second, seconds of a token while half of the slots are taken. The first two are
# learnt for each pool; how slow a target is against the third, for each target.
FIRST_TOKEN_S = 0.014
PREFILL_TOKENS_PER_S = 48_200.0
STEP_S = 0.0031
# The first guess counts as much as one answer, half of it to a short prompt and half
# to a long one: with the figures of one engine for another the first few answers
# prevail.
PRIOR_ANSWERS = 1.0
PRIOR_PROMPTS = (200.0, 6000.0)
# Weight that older observations keep with each new one: half after some 140 answers.
RETENTION = 0.995
# Bounds of what is believed, against single odd observations.
MIN_FIRST_S, MAX_FIRST_S = 0.001, 2.0
MIN_TOKEN_S, MAX_TOKEN_S = 1e-7, 1e-3


@dataclass(slots=True)
class EngineModel:
    """Seconds before the first token of an answer, on a target of slowness 1.

    A straight line over the prompt's tokens, by least squares over what was observed
    with nothing else to read at the target. Long prompts were reckoned at more than
    twice their time where engines read faster than the first guess says, so that slow
    targets were kept from prompts which they could have read in time.
    """

    _weight: float = 0.0
    _x: float = 0.0
    _xx: float = 0.0
    _y: float = 0.0
    _xy: float = 0.0
    first: float = FIRST_TOKEN_S
    token: float = 1.0 / PREFILL_TOKENS_PER_S
    learnt: int = 0

    def __post_init__(self) -> None:
        """Begin with the first guess."""
        self.reset(self.first, self.token)

    def reset(self, first: float, token: float) -> None:
        """Begin with what others learnt."""
        self.first, self.token = first, token
        self._weight = self._x = self._xx = self._y = self._xy = 0.0
        for prompt in PRIOR_PROMPTS:
            weight = PRIOR_ANSWERS / len(PRIOR_PROMPTS)
            self._add(prompt, first + prompt * token, weight)

    def prefill_seconds(self, prompt_tokens: int) -> float:
        """Return the seconds for which a prompt is read."""
        return prompt_tokens * self.token

    def answer_seconds(self, prompt_tokens: int, output_tokens: float) -> float:
        """Return the seconds of a whole answer."""
        return self.first + self.prefill_seconds(prompt_tokens) + output_tokens * STEP_S

    def observe(self, prompt_tokens: int, seconds: float) -> None:
        """Learn from a first token, in seconds as on a target of slowness 1."""
        for name in ("_weight", "_x", "_xx", "_y", "_xy"):
            setattr(self, name, RETENTION * getattr(self, name))
        self.learnt += 1
        self._add(prompt_tokens, seconds, 1.0)
        spread = self._weight * self._xx - self._x**2
        if spread <= 0:
            return
        token = (self._weight * self._xy - self._x * self._y) / spread
        self.token = min(MAX_TOKEN_S, max(MIN_TOKEN_S, token))
        first = (self._y - self.token * self._x) / self._weight
        self.first = min(MAX_FIRST_S, max(MIN_FIRST_S, first))

    def _add(self, prompt: float, seconds: float, weight: float) -> None:
        self._weight += weight
        self._x += weight * prompt
        self._xx += weight * prompt**2
        self._y += weight * seconds
        self._xy += weight * prompt * seconds


# Weight of a new observation of a log-normal ratio: some 20 count.
RATIO_LEARNING_RATE = 0.05


@dataclass(slots=True)
class LogNormalRatio:
    """A ratio that is taken as log-normal, learnt.

    Parameters
    ----------
    spread : float
        First guess of the standard deviation of its logarithm.
    """

    spread: InitVar[float]
    _mean: float = 0.0
    _square: float = field(init=False)

    def __post_init__(self, spread: float) -> None:
        """Begin with the first guess."""
        self._square = spread**2

    def observe(self, ratio: float) -> None:
        """Learn from an observation."""
        value = math.log(ratio)
        self._mean += RATIO_LEARNING_RATE * (value - self._mean)
        squared_error = (value - self._mean) ** 2
        self._square += RATIO_LEARNING_RATE * (squared_error - self._square)

    def above_median(self, deviations: float) -> float:
        """Return the ratio so many standard deviations above the median."""
        return math.exp(self._mean + deviations * math.sqrt(self._square))


# First guess of the spread of an answer's length against its hint, and the deviations
# that are allowed for: four answers of five are shorter.
INITIAL_LENGTH_SPREAD = 0.5
LENGTH_DEVIATIONS = 0.84


@dataclass(slots=True)
class AnswerLengths:
    """How long answers are against what callers expect, learnt.

    Callers' hints are right at the median and far off for many.
    """

    _ratio: LogNormalRatio = field(
        default_factory=lambda: LogNormalRatio(INITIAL_LENGTH_SPREAD)
    )

    def observe(self, expected: int, tokens: int) -> None:
        """Learn from a whole answer."""
        self._ratio.observe(max(1, tokens) / max(1, expected))

    def upper_bound(self, expected: int) -> float:
        """Return a length that four answers of five keep below."""
        return expected * self._ratio.above_median(LENGTH_DEVIATIONS)


# The same of a plain service's times against its target's mean: nine of ten are
# shorter. Of a time that the clock does not resolve this much is believed.
INITIAL_SERVICE_SPREAD = 0.4
SERVICE_DEVIATIONS = 1.28
MIN_SERVICE_RATIO = 1e-3


@dataclass(slots=True)
class ServiceTimes:
    """How long a plain service's requests take against the mean, learnt."""

    _ratio: LogNormalRatio = field(
        default_factory=lambda: LogNormalRatio(INITIAL_SERVICE_SPREAD)
    )

    def observe(self, ratio: float) -> None:
        """Learn from a request that took so many times its target's mean."""
        self._ratio.observe(max(MIN_SERVICE_RATIO, ratio))

    @property
    def upper_ratio(self) -> float:
        """Times the mean that nine of ten requests keep below."""
        return self._ratio.above_median(SERVICE_DEVIATIONS)


# Prompts are read in parts between the tokens of other streams; until one has been
# seen, it is taken that a prompt of any length is read between two events.
UNKNOWN_CHUNK_S = 10.0
# So much to read takes many parts, and a stream sees a whole share of it; less than
# the second is never believed.
MULTI_CHUNK_S = 0.2
MIN_CHUNK_S = 0.005
# Weight of a new observation, larger for a longer pause than believed: what is too long
# for callers shall be rare.
CHUNK_INCREASE_RATE, CHUNK_DECREASE_RATE = 0.2, 0.05


@dataclass(slots=True)
class PrefillChunk:
    """Seconds of prompts read between two events of a stream, at slowness 1, learnt.

    However much there is to read, no more than a part of it is read at each step. With
    the part guessed at half, one in seven answers of the slow targets had a pause
    beyond what its route allows.
    """

    most: float = UNKNOWN_CHUNK_S

    def between_events(self, prefill_seconds: float) -> float:
        """Return the seconds of so much that are read between two events."""
        return min(self.most, prefill_seconds)

    def observe(self, pause: float, prefill_seconds: float) -> None:
        """Learn from the longest pause of an answer.

        Parameters
        ----------
        pause : float
            Its seconds beside the time of the tokens.
        to_read : float
            The most that was to be read beside it; less than is believed to be read
            between two events tells nothing.
        """
        if prefill_seconds < min(self.most, MULTI_CHUNK_S):
            return
        if self.most == UNKNOWN_CHUNK_S:
            self.most = max(MIN_CHUNK_S, pause)
            return
        weight = CHUNK_INCREASE_RATE if pause > self.most else CHUNK_DECREASE_RATE
        self.most = max(MIN_CHUNK_S, self.most + weight * (pause - self.most))
