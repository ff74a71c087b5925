"""hibiscusstep.forwarding.version_history: until when streams of other versions live.

While one version has served a pool for longer than a stream can last, each stream that
a caller resumes began at it.
"""

import math
from collections import defaultdict
from collections.abc import Iterable

from hibiscusstep.routing.stream_versions import STREAM_LIFETIME_S

__all__ = ["VersionHistory"]


class VersionHistory:
    """When each version of a pool last served.

    Parameters
    ----------
    started_at : float
        When this instance started, in seconds on the loop's clock. It does not know
        what served before.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        # By pool and version, when it last served; infinite while it serves.
        self._served_until: dict[str, dict[str, float]] = defaultdict(dict)

    def observe(
        self, pool: str, versions: Iterable[str], now: float, *, is_changing: bool
    ) -> float:
        """Return until when streams of a version that does not serve may be resumed.

        Parameters
        ----------
        pool : str
            The pool.
        versions : iterable of str
            Versions that its new requests may run at now.
        now : float
            Seconds on the loop's clock.
        is_changing : bool
            Whether something known of the pool suggests that its version changed
            shortly before this instance started.

        Returns
        -------
        float
            Infinite while several versions serve.
        """
        serving = frozenset(versions)
        known = self._served_until[pool]
        for version, until in list(known.items()):
            if version not in serving and until == math.inf:
                known[version] = now
            elif until <= now - STREAM_LIFETIME_S:
                del known[version]
        known.update(dict.fromkeys(serving, math.inf))
        if len(serving) > 1:
            return math.inf
        others = [until for version, until in known.items() if version not in serving]
        if is_changing:
            others.append(self._started_at)
        return max(others, default=-math.inf) + STREAM_LIFETIME_S
