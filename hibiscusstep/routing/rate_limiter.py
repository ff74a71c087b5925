"""hibiscusstep.routing.rate_limiter: requests per second that a target accepts."""

import xxhash

__all__ = ["RateLimiter", "initial_tokens"]

# Seconds of the rate that may be saved up beyond one request. Without it the time until
# a dispatcher's next tick would be lost for each request.
BURST_S = 0.25
# A target announces the end of its limit in a response, so it is sent a request every
# few seconds even if it accepts none.
MIN_RATE_PER_S = 0.2
_HASH_RANGE = 1 << 64


class RateLimiter:
    """Token bucket that limits the grants of one dispatcher for one target.

    Parameters
    ----------
    limit : float
        Requests per second that the target accepts from all dispatchers together.
    share : float
        Share of the limit that this dispatcher may grant.
    now : float
        Seconds on the dispatcher's clock.
    tokens : float
        Requests that may be granted at once at the start.
    """

    def __init__(
        self, limit: float, share: float, now: float, tokens: float = 0.0
    ) -> None:
        self._set_rate(limit, share)
        self.restart(now, tokens)

    def _set_rate(self, limit: float, share: float) -> None:
        self._limit = limit
        self._rate = max(limit, MIN_RATE_PER_S) * share
        self._capacity = 1.0 + self._rate * BURST_S

    @property
    def limit(self) -> float:
        """Requests per second that the target accepts from all dispatchers."""
        return self._limit

    @property
    def rate(self) -> float:
        """Requests per second that this dispatcher may grant."""
        return self._rate

    @property
    def next_at(self) -> float:
        """Time from which on the next request may be granted."""
        return self._full_at - (self._capacity - 1.0) / self._rate

    def restart(self, now: float, tokens: float = 0.0) -> None:
        """Set the number of requests that may be granted at once now."""
        tokens = min(tokens, self._capacity)
        self._full_at = now + (self._capacity - tokens) / self._rate

    def update(self, limit: float, share: float, now: float) -> None:
        """Change the limit or the share; requests saved up so far are kept."""
        missing = max(0.0, self._full_at - now) * self._rate
        tokens = self._capacity - missing
        self._set_rate(limit, share)
        self.restart(now, tokens)

    def take(self, now: float) -> None:
        """Count a granted request."""
        self._full_at = max(now, self._full_at) + 1.0 / self._rate

    def give_back(self) -> None:
        """Take back the count of a granted request that was not sent."""
        self._full_at -= 1.0 / self._rate


def initial_tokens(instance: str, target: str) -> float:
    """Return a fraction of a token with which an instance's standby dispatcher starts.

    It is fixed for an instance and a target, and uniform over the instances: if all of
    them start at once, their first grants are spread evenly over time.
    """
    digest = xxhash.xxh64_intdigest(f"limit\0{instance}\0{target}".encode())
    return digest / _HASH_RANGE
