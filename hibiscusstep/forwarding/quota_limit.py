"""hibiscusstep.forwarding.quota_limit: the tokens that a customer may use now."""

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.kept_use import UseRecorder
from hibiscusstep.forwarding.model import CustomerRule
from hibiscusstep.forwarding.reach import Reach
from hibiscusstep.forwarding.usage import UsageLedger

__all__ = ["QuotaLimit"]

# Share of the allowed overage that is used; the rest is for what is not yet heard.
OVERAGE_USED = 0.7
# The same where instances hear of each other over relays: at the onset of a burst three
# times as much is used before all have heard of it.
OVERAGE_USED_GROUPED = 0.2
# Part of the unused overage that is free while nothing tells what was used before the
# start: a customer may have used its whole limit. The rest is for what is unheard.
BLIND_SHARE = 0.5


class QuotaLimit:
    """A customer's quota with a part of its overage, as far as use is known.

    Parameters
    ----------
    bounds : Bounds
        Window and allowed overage.
    ledger : UsageLedger
        What is known of customers' use.
    reach : Reach
        Which instances live.
    """

    def __init__(self, bounds: Bounds, ledger: UsageLedger, reach: Reach) -> None:
        self.bounds = bounds
        self._ledger = ledger
        self._reach = reach

    def whole(self, customer: CustomerRule) -> float:
        """Return the tokens of a window where all that was used is known."""
        return self._quota(customer) + self._overage_used * self._overage(customer)

    def at(self, customer: CustomerRule, now: float) -> float:
        """Return the tokens that may be used in a window at this moment."""
        known = self._ledger.knows_window(now)
        limit = self.whole(customer) if known else self._in_doubt(customer)
        alive = self._reach.alive
        return limit * alive / (alive + self._reach.silent(now))

    def _in_doubt(self, customer: CustomerRule) -> float:
        """Return the tokens that are free whatever was used before the start.

        The age of an instance says nothing of it: of a burst in the last seconds
        before a restart of all nothing expires while the instances grow older. With
        the limit freed by age, bursts of 1.5 to 5 s before one came to 1.05 to 1.25
        times what a customer may use.
        """
        listed = self._ledger.listed
        if listed is None:
            return BLIND_SHARE * (1 - self._overage_used) * self._overage(customer)
        if customer.name in listed:
            return self.whole(customer)
        return (1 - UseRecorder.UNLISTED_SHARE) * self.whole(customer)

    def _quota(self, customer: CustomerRule) -> float:
        """Return the tokens of a window that the quota itself allows."""
        quota = customer.quota
        return quota.rate * self.bounds.quota_window + quota.burst

    def _overage(self, customer: CustomerRule) -> float:
        """Return the tokens that may be used in a window beyond the quota."""
        bounds = self.bounds
        return self._quota(customer) * bounds.quota_overage + bounds.quota_slack

    @property
    def _overage_used(self) -> float:
        return OVERAGE_USED if self._reach.is_mesh else OVERAGE_USED_GROUPED
