"""hibiscusstep.forwarding.target_backoff: targets that asked for a pause."""

from collections.abc import Iterable

__all__ = ["TargetBackoff"]


class TargetBackoff:
    """Times until which this instance sends nothing to targets that rejected a request.

    Targets set the time per instance, so other instances may still be served.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def back_off(self, name: str, seconds: float, now: float) -> None:
        """Avoid a target for some seconds, unless a longer time is already set."""
        self._until[name] = max(self._until.get(name, 0.0), now + seconds)

    def is_backing_off(self, name: str, now: float) -> bool:
        """Return whether a target must not be sent requests."""
        return self._until.get(name, 0.0) > now

    def names_backing_off(self, now: float) -> list[str]:
        """Return the names of the targets that must not be sent requests."""
        self._until = {name: at for name, at in self._until.items() if at > now}
        return list(self._until)

    def seconds_until_any(self, names: Iterable[str], now: float) -> float:
        """Return the seconds until any of some targets may be sent requests again.

        0 if one of them is available now, or if `names` is empty.
        """
        remaining = (max(0.0, self._until.get(name, 0.0) - now) for name in names)
        return min(remaining, default=0.0)
