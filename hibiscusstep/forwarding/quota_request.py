"""hibiscusstep.forwarding.quota_request: token reservations of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscusstep.forwarding.model import CustomerRule

if TYPE_CHECKING:
    from hibiscusstep.forwarding.quota import QuotaLimiter

__all__ = ["QUOTA_RETRY_S", "QuotaRequest", "TokenReservation"]

# Retry-After, in seconds, of a request that exceeds a quota.
QUOTA_RETRY_S = 1.0


class TokenReservation:
    """Tokens reserved for a request until it is dispatched or dropped.

    Parameters
    ----------
    limiter : QuotaLimiter
        Counts the tokens.
    customer : str
        Name of the customer.
    tokens : int
        Number of tokens.
    """

    __slots__ = ("_customer", "_limiter", "_open", "_tokens")

    def __init__(self, limiter: QuotaLimiter, customer: str, tokens: int) -> None:
        self._limiter = limiter
        self._customer = customer
        self._tokens = tokens
        self._open = True

    def commit(self) -> None:
        """Count the tokens as used, once."""
        if self._open:
            self._open = False
            self._limiter.settle(self._customer, self._tokens, used=True)

    def release(self) -> None:
        """Return the tokens to the quota if they were not used."""
        if self._open:
            self._open = False
            self._limiter.settle(self._customer, self._tokens, used=False)


class QuotaRequest:
    """The tokens of a request, reserved only once the request has a target.

    A waiting request may still be refused for load. If waiting requests held
    reservations, a burst would be refused by quota for tokens that it never uses.

    Parameters
    ----------
    limiter : QuotaLimiter
        Counts the tokens.
    customer : CustomerRule
        The customer.
    tokens : int
        Number of tokens.
    request : str
        Id of the request, for the log.
    """

    __slots__ = ("_customer", "_limiter", "_request", "_reservation", "_tokens")

    def __init__(
        self, limiter: QuotaLimiter, customer: CustomerRule, tokens: int, request: str
    ) -> None:
        self._limiter = limiter
        self._customer = customer
        self._tokens = tokens
        self._request = request
        self._reservation: TokenReservation | None = None

    @property
    def tokens(self) -> int:
        """Number of tokens that the request counts for."""
        return self._tokens

    def fits(self) -> bool:
        """Return whether the tokens are within the quota now."""
        return self._limiter.fits(self._customer, self._tokens, self._request)

    def reserve(self) -> bool:
        """Reserve the tokens unless they already are; return whether they are."""
        if self._reservation is None:
            self._reservation = self._limiter.reserve(
                self._customer, self._tokens, self._request
            )
        return self._reservation is not None

    def commit(self) -> None:
        """Count the tokens as used, once."""
        if self._reservation is not None:
            self._reservation.commit()

    def release(self) -> None:
        """Return the tokens to the quota if they were reserved but not used."""
        if self._reservation is not None:
            self._reservation.release()
