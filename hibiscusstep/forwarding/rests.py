"""hibiscusstep.forwarding.rests: targets that want nothing from this instance."""

from collections.abc import Iterable

__all__ = ["TargetRests"]


class TargetRests:
    """Until when targets that turned a request away want nothing more from here.

    A target tells each instance for itself: another one may be served meanwhile.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def rest(self, name: str, seconds: float, now: float) -> None:
        """Leave a target alone for so many seconds, or for longer as told before."""
        self._until[name] = max(self._until.get(name, 0.0), now + seconds)

    def is_resting(self, name: str, now: float) -> bool:
        """Whether a target is to be left alone."""
        return self._until.get(name, 0.0) > now

    def resting(self, now: float) -> list[str]:
        """Return the names of the targets that are to be left alone."""
        self._until = {name: at for name, at in self._until.items() if at > now}
        return list(self._until)

    def until_any(self, names: Iterable[str], now: float) -> float:
        """Return the seconds until the first of some targets may be asked again.

        0 if one of them may be asked now, or if there are none.
        """
        left = (max(0.0, self._until.get(name, 0.0) - now) for name in names)
        return min(left, default=0.0)
