"""hibiscusstep.errors: typed errors that carry the step and the peer."""

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
    """Base of all errors of the library.

    Parameters
    ----------
    detail : str
        What went wrong, in one line.
    step : str
        The step at which it arose, e.g. ``"claim"``.
    peer : str
        The other side at that step (instance, target, platform, file), or ``""``.
    """

    def __init__(self, detail: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the error in one line: step, peer, detail."""
        place = " ".join(part for part in (self.step, self.peer) if part)
        return f"{place}: {self.detail}" if place else self.detail


class ConfigurationError(HibiscusstepError):
    """A file of the configuration or the settings is not acceptable.

    Parameters
    ----------
    detail : str
        What is wrong and how to mend it.
    file, key : str
        Where it stands.
    """

    def __init__(self, detail: str, *, file: str = "", key: str = "") -> None:
        super().__init__(detail, step="check", peer=file)
        self.file = file
        self.key = key

    def __str__(self) -> str:
        """Return file, key and fix in one line."""
        return ": ".join(part for part in (self.file, self.key, self.detail) if part)


class UnknownName(HibiscusstepError):
    """A registry holds no such name.

    Parameters
    ----------
    kind, name : str
        What was looked up.
    choices : iterable of str
        The names that exist.
    """

    def __init__(self, kind: str, name: str, choices) -> None:
        names = ", ".join(sorted(choices))
        super().__init__(f"unknown {kind} {name!r}; choose from {names}", step="lookup")
        self.name = name


class PlatformError(HibiscusstepError):
    """A call on the platform did not do what was asked."""


class PlatformNotFound(PlatformError):
    """The object does not exist."""


class PlatformConflict(PlatformError):
    """The condition of a conditional write did not hold; nothing was written."""


class PlatformUnavailable(PlatformError):
    """No answer from the platform: a write may or may not have taken effect."""


class PeerError(HibiscusstepError):
    """A peer instance could not be reached or did not answer."""


class TargetError(HibiscusstepError):
    """A target did not give a whole answer.

    Parameters
    ----------
    detail : str
        What happened.
    sent : bool
        Whether any byte of the request may have left for the target.
    leaving : bool, default=False
        The target said that it takes no new work.
    refused : bool, default=False
        Nothing listens at its address.
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
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.sent = sent
        self.leaving = leaving
        self.refused = refused
