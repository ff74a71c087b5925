"""hibiscusstep.forwarding.quota_claim: a request's part of a customer's quota."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscusstep.forwarding.model import CustomerRule

if TYPE_CHECKING:
    from hibiscusstep.forwarding.quota import QuotaKeeper

__all__ = ["QUOTA_RETRY_S", "QuotaClaim", "Ticket"]

# Whoever is beyond a quota may come again after so many seconds.
QUOTA_RETRY_S = 1.0


class Ticket:
    """A request's tokens, set aside until it is sent to a target or given up.

    Parameters
    ----------
    keeper : QuotaKeeper
        Where they are counted.
    customer : str
        Whose they are.
    tokens : int
        How many.
    """

    __slots__ = ("_customer", "_keeper", "_open", "_tokens")

    def __init__(self, keeper: QuotaKeeper, customer: str, tokens: int) -> None:
        self._keeper = keeper
        self._customer = customer
        self._tokens = tokens
        self._open = True

    def use(self) -> None:
        """Count the tokens as used, once."""
        if self._open:
            self._open = False
            self._keeper.settle(self._customer, self._tokens, used=True)

    def release(self) -> None:
        """Give the tokens back if they were not used."""
        if self._open:
            self._open = False
            self._keeper.settle(self._customer, self._tokens, used=False)


class QuotaClaim:
    """A request's wish for tokens, set aside only once it has a target.

    What waits may still be refused for load: counted while it waited, a burst of one
    customer was refused by quota for what it never used.

    Parameters
    ----------
    keeper : QuotaKeeper
        Where they are counted.
    customer : CustomerRule
        Whose they are.
    tokens : int
        How many.
    request : str
        Id of the request, for the log.
    """

    __slots__ = ("_customer", "_keeper", "_request", "_ticket", "_tokens")

    def __init__(
        self, keeper: QuotaKeeper, customer: CustomerRule, tokens: int, request: str
    ) -> None:
        self._keeper = keeper
        self._customer = customer
        self._tokens = tokens
        self._request = request
        self._ticket: Ticket | None = None

    @property
    def tokens(self) -> int:
        """What the request counts as."""
        return self._tokens

    def fits(self) -> bool:
        """Whether the tokens are within the quota now."""
        return self._keeper.fits(self._customer, self._tokens, self._request)

    def take(self) -> bool:
        """Set the tokens aside, once; return whether they are."""
        if self._ticket is None:
            self._ticket = self._keeper.admit(
                self._customer, self._tokens, self._request
            )
        return self._ticket is not None

    def use(self) -> None:
        """Count the tokens as used, once."""
        if self._ticket is not None:
            self._ticket.use()

    def release(self) -> None:
        """Give the tokens back if they were set aside and not used."""
        if self._ticket is not None:
            self._ticket.release()
