"""hibiscusstep.standins.batching: continuous batching with a prefix cache."""

import hashlib
import itertools
from collections import OrderedDict, deque
from dataclasses import dataclass, field

__all__ = ["Batch", "EngineSpeed", "Job", "PrefixCache", "count_tokens"]

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 256


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text, at four bytes per token."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)


@dataclass
class EngineSpeed:
    """Speed of an engine.

    Parameters
    ----------
    prefill_rate : float
        Prompt tokens per second.
    decode_rate : float
        Tokens per second of a single stream.
    batch_cost : float
        Share of a decode step that each further stream adds.
    max_running : int
        Maximum number of streams in the batch; further ones wait.
    prefill_chunk : int
        Maximum prompt tokens per step; they delay all streams.
    slow : float
        Slowdown factor; divides both rates; 1 is full speed.
    """

    prefill_rate: float = 4000.0
    decode_rate: float = 40.0
    batch_cost: float = 0.02
    max_running: int = 8
    prefill_chunk: int = 1024
    slow: float = 1.0


@dataclass(eq=False)
class Job:
    """Request in an engine.

    Parameters
    ----------
    request : str
        Request id.
    prompt : str
        Text of the prompt.
    output_tokens : int
        Tokens of the complete answer.
    produced : int
        Tokens produced so far.
    prompt_tokens : int
        Tokens of the prompt; 0 to count them in its text.
    """

    request: str
    prompt: str
    output_tokens: int
    produced: int = 0
    prompt_tokens: int = 0
    prefill_left: int = field(init=False, default=0)
    prefilled: int = field(init=False, default=0)
    cancelled: bool = field(init=False, default=False)

    def __post_init__(self) -> None:
        """Count the prompt's tokens."""
        self.prompt_tokens = self.prompt_tokens or count_tokens(self.prompt)

    @property
    def prompt_digest(self) -> str:
        """Digest of the prompt, included in every token of its answer."""
        return hashlib.blake2b(self.prompt.encode(), digest_size=4).hexdigest()

    @property
    def finished(self) -> bool:
        """Whether all tokens are produced."""
        return self.produced >= self.output_tokens

    def token(self, number: int) -> str:
        """Return the text of a token by its number from 0."""
        return f"{self.prompt_digest}.{number} "


class PrefixCache:
    """Cache of prompt blocks that evicts the least recently used ones.

    Parameters
    ----------
    capacity : int
        Capacity in tokens.
    """

    def __init__(self, capacity: int) -> None:
        self._blocks: OrderedDict[bytes, None] = OrderedDict()
        self._capacity = capacity * BYTES_PER_TOKEN // BLOCK_BYTES

    def cached_tokens(self, prompt: str) -> int:
        """Return the number of leading tokens in the cache, and add the prompt."""
        digests = list(_block_digests(prompt.encode()))
        hits = sum(1 for _ in itertools.takewhile(self._blocks.__contains__, digests))
        for digest in digests:
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)
        return hits * BLOCK_BYTES // BYTES_PER_TOKEN


def _block_digests(data: bytes):
    running = hashlib.blake2b(digest_size=8)
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        running.update(data[start : start + BLOCK_BYTES])
        yield running.copy().digest()


class Batch:
    """Batch of an engine; each `step` produces at most one token per job.

    Parameters
    ----------
    speed : EngineSpeed
        Speed of the engine.
    cache_tokens : int
        Capacity of the prefix cache in tokens; 0 for no cache.
    """

    def __init__(self, speed: EngineSpeed, cache_tokens: int = 60_000) -> None:
        self.speed = speed
        self.prefilled_total = 0
        self._cache = PrefixCache(cache_tokens) if cache_tokens else None
        self._waiting: deque[Job] = deque()
        self._running: list[Job] = []

    @property
    def running(self) -> int:
        """Number of jobs in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of jobs that wait for a place in the batch."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether there are no jobs."""
        return not self._running and not self._waiting

    def add(self, job: Job) -> None:
        """Append a job to the queue."""
        self._waiting.append(job)

    def step(self) -> tuple[float, list[Job]]:
        """Run one step.

        Returns
        -------
        seconds : float
            Duration of the step.
        advanced : list of Job
            Jobs that got a token at the end of the step.
        """
        self._admit()
        prefill = self._prefill()
        decoding = [job for job in self._running if not job.prefill_left]
        for job in decoding:
            job.produced += 1
        self._running = [job for job in self._running if not job.finished]
        return self._duration(prefill, len(decoding)), decoding

    def _admit(self) -> None:
        self._running = [job for job in self._running if not job.cancelled]
        while self._waiting and len(self._running) < self.speed.max_running:
            job = self._waiting.popleft()
            if not job.cancelled:
                cached = self._cache.cached_tokens(job.prompt) if self._cache else 0
                job.prefill_left = max(1, job.prompt_tokens - cached)
                self._running.append(job)

    def _prefill(self) -> int:
        budget = self.speed.prefill_chunk
        for job in self._running:
            chunk = min(budget, job.prefill_left)
            job.prefill_left -= chunk
            job.prefilled += chunk
            budget -= chunk
        done = self.speed.prefill_chunk - budget
        self.prefilled_total += done
        return done

    def _duration(self, prefill: int, decoding: int) -> float:
        speed = self.speed
        decode = (1 + speed.batch_cost * (decoding - 1)) / speed.decode_rate
        busy = prefill / speed.prefill_rate + (decode if decoding else 0.0)
        return busy * speed.slow
