"""hibiscusstep.policy: how a pool orders its waiting requests and picks a target."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from hibiscusstep.routing.estimate import TargetState
from hibiscusstep.routing.messages import Work

__all__ = ["Policy", "get_policy_by_name"]


class Policy(ABC):
    """One way of placing requests.

    Attributes
    ----------
    name : str
        Name in the configuration.
    bounded : bool
        Whether a target takes at most `max_running` requests at once.
    tiered : bool
        Whether higher tiers go first and are shed last.
    fair : bool
        Whether customers share by cost and short work goes before long.
    refuses_early : bool
        Whether work that cannot meet its deadline is refused on arrival.
    """

    name: str
    bounded = True
    tiered = True
    fair = False
    refuses_early = False

    def long(self, work: Work, targets: Sequence[TargetState]) -> bool:
        """Whether the work would hold up its neighbours; long work queues apart."""
        return False

    @abstractmethod
    def choose(
        self,
        work: Work,
        targets: Sequence[TargetState],
        live: Sequence[TargetState],
        alone: bool,
    ) -> TargetState | None:
        """Return the target for a request, or None to let it wait.

        Parameters
        ----------
        work : Work
            The request.
        targets : sequence of TargetState
            Those that have room for it; at least one.
        live : sequence of TargetState
            All that take work at present, those without room too.
        alone : bool
            Whether the bounds that only spare others must give way.
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
