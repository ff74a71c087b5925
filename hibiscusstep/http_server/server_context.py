"""hibiscusstep.http_server.server_context: what the connections of a port share."""

from collections.abc import Callable

from hibiscusstep.http_server.limits import IngressLimits

__all__ = ["ServerContext"]


class ServerContext:
    """Limits and counts of the connections of a port.

    Parameters
    ----------
    port : str
        Name of the port in metrics.
    limits : IngressLimits or None
        Limits of callers; None for the defaults.
    on_refused : callable of str, str, or None
        Called with the port and the reason of each refusal.
    """

    def __init__(
        self,
        port: str,
        limits: IngressLimits | None = None,
        on_refused: Callable[[str, str], None] | None = None,
    ) -> None:
        self.port = port
        self.limits = limits or IngressLimits()
        self._on_refused = on_refused

    def count_refusal(self, reason: str) -> None:
        """Count a caller that was refused, or whose connection was closed."""
        if self._on_refused:
            self._on_refused(self.port, reason)
