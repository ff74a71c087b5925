"""hibiscusstep.descriptors: how many connections each port of an instance may have.

The rest of the descriptors is for targets, other instances and the store, and for
connections that are closed to make room and still open for a moment.
"""

import resource
from dataclasses import dataclass

__all__ = ["ConnectionLimits"]

# Descriptors that the users' machines keep for files.
FILE_DESCRIPTORS = 200
MIN_SOCKETS = 32
# More would use up the memory first.
MAX_SOCKETS = 1 << 16
CALLERS_SHARE = 2
OTHERS_SHARE = 16
MIN_OTHERS, MAX_OTHERS = 4, 64


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Numbers of connections.

    Parameters
    ----------
    callers : int
        At the callers' port.
    others : int
        At each other port; at the peers' port only strangers count.
    """

    callers: int
    others: int

    @classmethod
    def of_descriptors(cls, max_descriptors: int = 0) -> "ConnectionLimits":
        """Return the limits that follow from a number of descriptors.

        Parameters
        ----------
        max_descriptors : int
            Descriptors of the process; 0 for those that the system allows.
        """
        if max_descriptors <= 0:
            max_descriptors, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            if max_descriptors == resource.RLIM_INFINITY:
                max_descriptors = MAX_SOCKETS
        sockets = max_descriptors - FILE_DESCRIPTORS
        sockets = min(max(sockets, MIN_SOCKETS), MAX_SOCKETS)
        others = min(max(sockets // OTHERS_SHARE, MIN_OTHERS), MAX_OTHERS)
        return cls(sockets // CALLERS_SHARE, others)
