"""hibiscusstep.forwarding.buffer_budget: bounds the bytes held for slow peers.

Handles many callers and targets that read slowly or not at all, on an instance with
little memory. Decides when windows narrow, when new requests are refused and which
exchange is cut off. It does no I/O: an account reports changes, and a `HeldConnection`
carries out the decisions.
"""

import enum
import os
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

__all__ = [
    "BufferAccount",
    "BufferBounds",
    "BufferBudget",
    "BufferKind",
    "HeldConnection",
    "resident_bytes",
]

# The smaller reading of MB is the safe one: the process is killed above the limit.
BYTES_PER_MB = 10**6
# Part of the memory beyond the start that buffers may take. The rest is for copies that
# exist while bytes are passed on, for fragmentation, and for tables that grow.
BUFFER_SHARE = 0.4
# Below this the instance could not hold one request with its response.
MIN_HARD_BYTES = 8 << 20
# Bodies of requests on their way need room between refusing and cutting off.
SOFT_SHARE = 0.5
ADMIT_SHARE = 0.8
# Part of the hard bound, and at most, that callers' bytes take before they are parsed.
UNPARSED_SHARE = 0.25
MAX_UNPARSED_BYTES = 64 << 20
# Windows widen only well below the soft bound, so that they do not flap.
WIDEN_SHARE = 0.8
# Write buffer of a caller's connection and read limit of a target's, normally and above
# the soft bound. A few events fit into the narrow window.
WINDOW_BYTES = 1 << 16
NARROW_WINDOW_BYTES = 1 << 13
# Another instance may have room at once; slow readers keep theirs for longer.
REFUSED_RETRY_AFTER_S = 0.5
# Incomplete requests that are larger by this factor make room, though they go on.
FAR_LARGER = 4
# Resident size of a started instance, used where it cannot be measured.
DEFAULT_RESIDENT_BYTES = 60_000_000
_STATM = Path("/proc/self/statm")


class BufferKind(enum.IntEnum):
    """What a number of held bytes consists of.

    The last three belong to transports: what a caller or target has not taken yet, and
    what was received from a target and not read yet.
    """

    REQUEST = 0
    RESPONSE = 1
    TO_CALLER = 2
    TO_TARGET = 3
    FROM_TARGET = 4


class HeldConnection(ABC):
    """A caller's connection for which bytes are held."""

    @abstractmethod
    def set_window(self, size: int) -> None:
        """Set how many bytes may wait for the caller before writing pauses."""

    @abstractmethod
    def cut_off(self, account: "BufferAccount", reason: str) -> None:
        """End the connection and the exchange at once."""


@dataclass(frozen=True, slots=True)
class BufferBounds:
    """Bounds of an instance's buffers, in bytes.

    Parameters
    ----------
    soft : float
        Above this, the windows of all connections are narrow.
    admit : float
        New requests are refused if they would exceed this.
    hard : float
        Above this, exchanges are cut off.
    """

    soft: float = float("inf")
    admit: float = float("inf")
    hard: float = float("inf")

    @property
    def unparsed(self) -> float:
        """Bytes from callers that may wait to be parsed, beside what is held."""
        return min(MAX_UNPARSED_BYTES, UNPARSED_SHARE * self.hard)

    @classmethod
    def of_memory(cls, limit_mb: float, resident: int) -> "BufferBounds":
        """Return the bounds that follow from a memory limit.

        Parameters
        ----------
        limit_mb : float
            Memory limit of the process in MB; 0 if there is none.
        resident : int
            Bytes that the process uses without buffers.
        """
        if limit_mb <= 0:
            return cls()
        free = limit_mb * BYTES_PER_MB - resident
        hard = max(MIN_HARD_BYTES, int(BUFFER_SHARE * free))
        return cls(int(SOFT_SHARE * hard), int(ADMIT_SHARE * hard), hard)


class BufferAccount:
    """The bytes held for one exchange.

    Parameters
    ----------
    budget : BufferBudget
        The budget of the instance.
    connection : HeldConnection
        The caller's connection.

    Attributes
    ----------
    name : str
        Request id, for the log.
    repeatable : bool
        Whether the caller or the system may repeat or resume the request. Until the
        route is known the request has not been read, and may be repeated.
    progress_at : float
        Time of the last progress, on the clock of the budget.
    held : int
        Bytes of all kinds together.
    refuse_request : callable or None
        Refuses the request, whose body is incomplete; None if it is complete.
    """

    __slots__ = (
        "_budget",
        "_bytes",
        "connection",
        "held",
        "is_open",
        "name",
        "progress_at",
        "refuse_request",
        "repeatable",
    )

    def __init__(self, budget: "BufferBudget", connection: HeldConnection) -> None:
        self._budget = budget
        self._bytes = [0] * len(BufferKind)
        self.connection = connection
        self.name = ""
        self.repeatable = True
        self.progress_at = budget.now()
        self.held = 0
        self.refuse_request: Callable[[], None] | None = None
        self.is_open = True

    def __getitem__(self, kind: BufferKind) -> int:
        """Return the bytes held of a kind."""
        return self._bytes[kind]

    def add(self, kind: BufferKind, count: int) -> None:
        """Add a number of bytes, which may be negative."""
        if not count or not self.is_open:
            return
        self._bytes[kind] += count
        self.held += count
        self._budget.change(kind, count)

    def set(self, kind: BufferKind, size: int) -> None:
        """Set the bytes held of a kind."""
        if size != self._bytes[kind]:
            self.add(kind, size - self._bytes[kind])

    def record_progress(self) -> None:
        """Record that the caller or the target took or sent bytes."""
        self.progress_at = self._budget.now()

    def close(self) -> None:
        """Release all bytes; further changes have no effect."""
        if self.is_open:
            for kind in BufferKind:
                self.set(kind, 0)
            self.is_open = False
            self._budget.forget(self)


class BufferBudget:
    """The bytes that an instance holds, and decisions when they are too many.

    The cost of a change is a few additions and comparisons. All accounts are visited
    only when a bound is crossed.

    Parameters
    ----------
    bounds : BufferBounds
        Bounds of the instance.
    now : callable
        Returns the current time in seconds.

    Attributes
    ----------
    held : int
        Bytes held for all exchanges.
    highest : int
        The most bytes held so far.
    """

    def __init__(self, bounds: BufferBounds, now: Callable[[], float]) -> None:
        self._bounds = bounds
        self._by_kind = [0] * len(BufferKind)
        self._accounts: set[BufferAccount] = set()
        self._is_relieving = False
        self.now = now
        self.held = 0
        self.highest = 0
        self._is_narrow = False

    @property
    def bounds(self) -> BufferBounds:
        """The bounds in force."""
        return self._bounds

    @property
    def is_narrow(self) -> bool:
        """Whether windows are narrow."""
        return self._is_narrow

    @property
    def window(self) -> int:
        """Bytes that may wait in each direction of a connection."""
        return NARROW_WINDOW_BYTES if self._is_narrow else WINDOW_BYTES

    @property
    def held_by_kind(self) -> dict[str, int]:
        """Bytes held for requests, responses and in transports."""
        request, response, *transport = self._by_kind
        return {
            "request": request,
            "response": response,
            "transport": sum(transport),
        }

    def open(self, connection: HeldConnection) -> BufferAccount:
        """Return a new account for an exchange."""
        account = BufferAccount(self, connection)
        self._accounts.add(account)
        if self._is_narrow:
            connection.set_window(NARROW_WINDOW_BYTES)
        return account

    def admits(self, size: int) -> bool:
        """Whether a request that has not run may hold this many bytes more."""
        return self.held + size <= self._bounds.admit

    def make_room(self, size: int, since: float, held: int = 0) -> bool:
        """Refuse incomplete requests until one may hold this many bytes more.

        The one without progress for longest goes first. Those that made progress after
        a time, and are not far larger, are left.

        Parameters
        ----------
        size : int
            Number of bytes.
        since : float
            Time at which the request came for which room is made.
        held : int
            Bytes that it holds already.
        """
        much = FAR_LARGER * (held + size)
        while not self.admits(size):
            account = min(
                (
                    account
                    for account in self._accounts
                    if account.refuse_request is not None
                    and account.held
                    and (account.progress_at < since or account.held > much)
                ),
                key=lambda account: account.progress_at,
                default=None,
            )
            if account is None:
                return False
            account.refuse_request()
            account.close()
        return True

    def change(self, kind: BufferKind, count: int) -> None:
        """Count a change of an account, and act if a bound is crossed."""
        self._by_kind[kind] += count
        self.held += count
        if count > 0:
            if self.held > self.highest:
                self.highest = self.held
            if self.held > self._bounds.soft:
                self._relieve()
        elif self._is_narrow and self.held < WIDEN_SHARE * self._bounds.soft:
            self._set_narrow(False)

    def forget(self, account: BufferAccount) -> None:
        """Remove an account that was closed."""
        self._accounts.discard(account)
        if self._is_narrow:
            account.connection.set_window(WINDOW_BYTES)

    def choose_to_cut_off(self) -> BufferAccount | None:
        """Return the account of the exchange to cut off, None if none holds bytes.

        One that may be repeated goes first, then the one that holds the most windows,
        then the one without progress for longest.
        """
        return min(
            (account for account in self._accounts if account.held > 0),
            key=lambda account: (
                not account.repeatable,
                -(account.held // WINDOW_BYTES),
                account.progress_at,
            ),
            default=None,
        )

    def _relieve(self) -> None:
        """Narrow the windows; above the hard bound, cut off exchanges."""
        if self._is_relieving:
            return
        self._is_relieving = True
        try:
            if not self._is_narrow:
                self._set_narrow(True)
            while self.held > self._bounds.hard:
                account = self.choose_to_cut_off()
                if account is None:
                    return
                account.connection.cut_off(account, "memory")
                account.close()
        finally:
            self._is_relieving = False

    def _set_narrow(self, is_narrow: bool) -> None:
        self._is_narrow = is_narrow
        for account in self._accounts:
            account.connection.set_window(self.window)


def resident_bytes() -> int:
    """Return the resident size of this process, or a constant if it is unknown."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return DEFAULT_RESIDENT_BYTES
    return pages * os.sysconf("SC_PAGE_SIZE")
