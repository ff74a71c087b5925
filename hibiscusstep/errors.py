"""hibiscusstep.errors: exception classes with the failed step and the peer."""

__all__ = [
    "ConfigurationError",
    "HibiscusstepError",
    "PeerError",
    "PlatformConflict",
    "PlatformError",
    "PlatformNotFound",
    "PlatformUnavailable",
    "TargetError",
    "UnknownName",
]


class HibiscusstepError(Exception):
    """Base class of all errors of the package.

    Parameters
    ----------
    detail : str
        Description in one line.
    step : str
        The step that failed, e.g. ``"claim"``.
    peer : str
        The other side of that step (instance, target, platform, file), or ``""``.
    """

    def __init__(self, detail: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the error in one line: step, peer, detail."""
        location = " ".join(part for part in (self.step, self.peer) if part)
        return f"{location}: {self.detail}" if location else self.detail


class ConfigurationError(HibiscusstepError):
    """A file of the configuration or the settings is invalid.

    Parameters
    ----------
    detail : str
        What is wrong and how to fix it.
    file, key : str
        Location of the error.
    """

    def __init__(self, detail: str, *, file: str = "", key: str = "") -> None:
        super().__init__(detail, step="check", peer=file)
        self.file = file
        self.key = key

    def __str__(self) -> str:
        """Return file, key and fix in one line."""
        return ": ".join(part for part in (self.file, self.key, self.detail) if part)


class UnknownName(HibiscusstepError):
    """A name is not in a registry.

    Parameters
    ----------
    kind, name : str
        Kind of class, and the name that was looked up.
    choices : iterable of str
        The existing names.
    """

    def __init__(self, kind: str, name: str, choices) -> None:
        names = ", ".join(sorted(choices))
        super().__init__(f"unknown {kind} {name!r}; choose from {names}", step="lookup")
        self.name = name


class PlatformError(HibiscusstepError):
    """A call to the platform failed."""


class PlatformNotFound(PlatformError):
    """The object does not exist on the platform."""


class PlatformConflict(PlatformError):
    """The condition of a conditional write did not hold; nothing was written."""


class PlatformUnavailable(PlatformError):
    """The platform did not answer; a write may or may not have taken effect."""


class PeerError(HibiscusstepError):
    """A peer instance could not be reached or did not answer."""


class TargetError(HibiscusstepError):
    """A target did not give a complete answer.

    Parameters
    ----------
    detail : str
        Description in one line.
    sent : bool
        Whether any byte of the request may have been sent to the target.
    leaving : bool, default=False
        Whether the target reported that it accepts no new requests.
    refused : bool, default=False
        Whether the target refused the connection.
    in_path : bool, default=False
        Whether the failure is one of the path from this instance to the target, or may
        be: it says nothing about the target.
    """

    def __init__(
        self,
        detail: str,
        *,
        step: str,
        peer: str,
        sent: bool,
        leaving: bool = False,
        refused: bool = False,
        in_path: bool = False,
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.sent = sent
        self.leaving = leaving
        self.refused = refused
        self.in_path = in_path
