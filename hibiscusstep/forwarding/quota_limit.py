"""hibiscusstep.forwarding.quota_limit: the current token limit of a customer."""

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.model import CustomerRule
from hibiscusstep.forwarding.reachability import Reachability
from hibiscusstep.forwarding.saved_usage import SavedUsagePlanner
from hibiscusstep.forwarding.usage import UsageLedger

__all__ = ["QuotaLimit"]

# Share of the allowed overage that is granted; the rest covers unreported usage.
GRANTED_OVERAGE = 0.7
# The same if usage is exchanged over relays: at the onset of a burst three times as
# much is used before all instances have received it.
GRANTED_OVERAGE_RELAYED = 0.2
# Share of the otherwise ungranted overage that is granted while usage before the start
# is unknown: the customer may have used its whole limit. The rest covers unreported
# usage.
UNKNOWN_HISTORY_SHARE = 0.5


class QuotaLimit:
    """Computes token limits from quotas, overage and what is known of the usage.

    Parameters
    ----------
    bounds : Bounds
        Window and allowed overage.
    ledger : UsageLedger
        Known token usage of customers.
    reachability : Reachability
        Counts of reachable and unreachable instances.
    """

    def __init__(
        self, bounds: Bounds, ledger: UsageLedger, reachability: Reachability
    ) -> None:
        self.bounds = bounds
        self._ledger = ledger
        self._reachability = reachability

    def full_limit(self, customer: CustomerRule) -> float:
        """Return the limit per window if all usage in the window is known."""
        return self._quota(customer) + self._granted_overage * self._overage(customer)

    def current_limit(self, customer: CustomerRule, now: float) -> float:
        """Return the limit per window of the reachable instances at this moment."""
        window_known = self._ledger.knows_window(now)
        limit = (
            self.full_limit(customer)
            if window_known
            else self._limit_with_unknown_history(customer)
        )
        reachable = self._reachability.alive_count
        return (
            limit * reachable / (reachable + self._reachability.unreachable_count(now))
        )

    def _limit_with_unknown_history(self, customer: CustomerRule) -> float:
        """Return the limit that is safe whatever was used before the start.

        It must not grow with the age of the instance: usage of a burst in the last
        seconds before a full restart does not expire in that time. With a limit that
        grew with age, bursts of 1.5 to 5 s before a restart reached 1.05 to 1.25 times
        what a customer may use.
        """
        listed = self._ledger.listed
        if listed is None:
            return (
                UNKNOWN_HISTORY_SHARE
                * (1 - self._granted_overage)
                * self._overage(customer)
            )
        if customer.name in listed:
            return self.full_limit(customer)
        return (1 - SavedUsagePlanner.UNLISTED_SHARE) * self.full_limit(customer)

    def _quota(self, customer: CustomerRule) -> float:
        """Return the tokens per window that the quota alone allows."""
        quota = customer.quota
        return quota.rate * self.bounds.quota_window + quota.burst

    def _overage(self, customer: CustomerRule) -> float:
        """Return the tokens per window that are allowed beyond the quota."""
        bounds = self.bounds
        return self._quota(customer) * bounds.quota_overage + bounds.quota_slack

    @property
    def _granted_overage(self) -> float:
        return (
            GRANTED_OVERAGE if self._reachability.is_mesh else GRANTED_OVERAGE_RELAYED
        )
