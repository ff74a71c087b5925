"""hibiscusstep.http_server.server_context: what the connections of a port share."""

import asyncio
from collections.abc import Callable

from hibiscusstep.http_server.connection_table import ConnectionTable, Phase
from hibiscusstep.http_server.limits import IngressLimits
from hibiscusstep.http_server.loop_share import LoopShare
from hibiscusstep.line_limit import LineLimit
from hibiscusstep.log import decision

__all__ = ["LINGER_S", "ServerContext"]

CHECK_INTERVAL_S = 1.0
# After a pause of the process, what has been received is read before a check.
PAUSE_S = 0.25
# Time for which a refused caller may read its response.
LINGER_S = 1.0
# Log lines about each reason to refuse callers.
LINES_PER_S = 2


class ServerContext:
    """Limits, connections and counts of a port.

    Parameters
    ----------
    port : str
        Name of the port in metrics.
    read_limits : callable or None
        Returns the limits of callers in force; None for the defaults.
    on_refused : callable of str, str, or None
        Called with the port and the reason of each refusal.
    work_timeout : float or None
        Seconds for which a request may be at work; None if requests end by themselves.
    max_connections : int
        Connections that are open at once.
    make_room : callable of int, or None
        Returns whether a request may hold so many bytes; None if there is no bound.
    max_held : float
        Received bytes of all connections together that wait to be parsed.

    Attributes
    ----------
    table : ConnectionTable
        The open connections.
    loop_share : LoopShare
        What they may parse in one step of the event loop.
    """

    def __init__(
        self,
        port: str,
        read_limits: Callable[[], IngressLimits] | None = None,
        on_refused: Callable[[str, str], None] | None = None,
        work_timeout: float | None = None,
        max_connections: int = 1024,
        make_room: Callable[[int], bool] | None = None,
        max_held: float = 64 << 20,
    ) -> None:
        self.port = port
        self._read_limits = read_limits or IngressLimits
        self._on_refused = on_refused
        self._max_held = max_held
        self._held = 0
        self._lines = LineLimit(LINES_PER_S, asyncio.get_running_loop().time)
        self.max_connections = max_connections
        self.make_room = make_room or (lambda size: True)
        self.table = ConnectionTable(LINGER_S, work_timeout)
        self.loop_share = LoopShare()

    @property
    def limits(self) -> IngressLimits:
        """The limits in force."""
        return self._read_limits()

    def count_refusal(self, reason: str, peer: object = None) -> None:
        """Count a caller that was refused, or whose connection was closed.

        Parameters
        ----------
        reason : str
            Reason for log and metrics, never a caller's words.
        peer : object
            Address of the caller.
        """
        if self._on_refused:
            self._on_refused(self.port, reason)
        left_out = self._lines.admit(reason)
        if left_out is not None:
            decision(
                "connection-refused",
                port=self.port,
                why=reason,
                peer=str(peer or ""),
                left_out=left_out,
            )

    def count_held(self, change: int, connection) -> None:
        """Count bytes that a connection holds; above the bound, refuse one.

        That is the connection itself if it holds more than a head, else the oldest one
        with a part of a head.
        """
        self._held += change
        if change > 0 and self._held > self._max_held:
            oldest = self.table.oldest(Phase.HEAD)
            if connection.held_bytes > self.limits.max_header_bytes or oldest is None:
                connection.refuse_input()
            else:
                oldest.refuse_input()

    def admits_exception(self) -> bool:
        """Whether the traceback of a failed handler is logged."""
        return self._lines.admit("exception") is not None

    async def close_expired(self) -> None:
        """Close connections whose time is over, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = loop.time()
            if now - due > PAUSE_S:
                continue
            for connection, phase in list(self.table.expired(now, self.limits)):
                connection.expire(phase)
