"""hibiscusstep.policy: the interface of placement policies."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from hibiscusstep.routing.messages import Work
from hibiscusstep.routing.target_estimate import TargetEstimate

__all__ = ["Policy", "get_policy_by_name"]


class Policy(ABC):
    """A rule that orders waiting requests and selects their targets.

    Attributes
    ----------
    name : str
        Name in the configuration.
    bounded : bool
        Whether a target takes at most `max_running` requests at once.
    tiered : bool
        Whether higher tiers go first and are shed last.
    fair : bool
        Whether customers share fairly by cost and short requests go before long ones.
    refuses_early : bool
        Whether requests that cannot meet their deadline are refused on arrival.
    """

    name: str
    bounded = True
    tiered = True
    fair = False
    refuses_early = False

    def is_long(self, work: Work, targets: Sequence[TargetEstimate]) -> bool:
        """Whether a request delays others on its target and so queues separately."""
        return False

    @abstractmethod
    def choose(
        self,
        work: Work,
        targets: Sequence[TargetEstimate],
        usable_targets: Sequence[TargetEstimate],
        urgent: bool,
    ) -> TargetEstimate | None:
        """Return the target for a request, or None if it should wait.

        Parameters
        ----------
        work : Work
            The request.
        targets : sequence of TargetEstimate
            Targets with a free slot; at least one.
        usable_targets : sequence of TargetEstimate
            All targets that accept requests, including those without a free slot.
        urgent : bool
            Whether to ignore the limits that only protect other requests.
        """


def get_policy_by_name(name: str) -> type[Policy]:
    """Return the policy class of a name or alias.

    Raises
    ------
    UnknownName
        If there is no such policy.
    """
    from hibiscusstep.policies import POLICIES

    return POLICIES.get(name)
