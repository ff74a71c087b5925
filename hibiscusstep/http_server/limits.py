"""hibiscusstep.http_server.limits: limits on what callers send, and for how long."""

from dataclasses import dataclass

__all__ = [
    "HEADER_MARGIN_S",
    "IDLE_MARGIN_S",
    "OPERATOR_LIMITS",
    "OPERATOR_TIMEOUT_S",
    "IngressLimits",
]

# Added to the limits of callers, so that the server's are always the longer ones.
HEADER_MARGIN_S = 1.0
IDLE_MARGIN_S = 5.0


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on callers' requests: sizes in bytes, timeouts in seconds.

    Parameters
    ----------
    max_header_bytes : int
        Size of a request's head; more is answered with 431.
    max_body_bytes : int
        Size of a request's body; more is answered with 413.
    header_timeout : float
        Time from the first byte of a head to its last; more is answered with 408.
    idle_timeout : float
        Time for which a connection may wait for the first byte of a request.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


# Limits of balancers and operators, which poll less often than callers call, and the
# time for them to take a response, in seconds.
OPERATOR_LIMITS = IngressLimits(max_header_bytes=4096, idle_timeout=75.0)
OPERATOR_TIMEOUT_S = 60.0
