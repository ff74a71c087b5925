"""hibiscusstep.forwarding.target_paths: which targets this instance reaches, and how.

A direct connection that fails while another instance reaches the same target shows that
the path from here is lost, not the target. What is recorded here concerns this instance
only. It does no I/O.
"""

import math
import random
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import chain, islice, zip_longest

from hibiscusstep.log import decision
from hibiscusstep.membership.view import Member, View

__all__ = ["TargetPaths"]

# Another instance is asked if a direct connection takes longer than this multiple of
# the usual time, within bounds. A lost packet is repeated after a second.
SLOW_CONNECT_FACTOR = 3.0
MIN_SLOW_CONNECT_S = 0.04
MAX_SLOW_CONNECT_S = 0.2
INITIAL_SLOW_CONNECT_S = 0.06
CONNECT_LEARNING_RATE = 0.2
# A lost path is tried again, beside the way through another instance, at this interval;
# all paths together at the shorter one.
RETRY_INTERVAL_S = 0.5
RETRY_INTERVAL_OF_ALL_S = 0.1
# Interval at which the paths of silent overdue requests are checked, one at a time.
CHECK_INTERVAL_S = 0.2
# Lost paths without any success after which all paths count as lost.
MIN_LOST_PATHS = 2
# An attempt through another instance within this time is compared with a direct one,
# and silent targets with each other.
COMPARED_WITHIN_S = 1.0
# A target that was reached neither directly nor through others is not tried again from
# here within this time.
UNREACHABLE_S = 0.5
# Without requests nothing shows the end of a partition; it is assumed after this time.
PARTITION_MEMORY_S = 5.0
# An instance that could not help is asked last within this time.
PEER_PENALTY_S = 0.5
MAX_PEERS = 3


@dataclass(slots=True)
class _Path:
    """The direct path to a target; times are in seconds on the loop's clock.

    `succeeded_at` is the time of the last success, and `failed_at` that of the first
    failure since, infinity if there is none. `reached_by_peer_at` is when another
    instance reached the target last, and `is_lost` whether one did while this instance
    failed. `silent_at` is when an overdue request was silent last.
    """

    connect_s: float = INITIAL_SLOW_CONNECT_S / SLOW_CONNECT_FACTOR
    succeeded_at: float = -math.inf
    failed_at: float = math.inf
    error: str = ""
    reached_by_peer_at: float = -math.inf
    is_lost: bool = False
    retry_at: float = 0.0
    unreachable_until: float = 0.0
    silent_at: float = -math.inf


class TargetPaths:
    """The paths from this instance to the targets, and the instances to tunnel through.

    Parameters
    ----------
    own_address : str
        Own peer address.
    data_centre : str
        Own data centre.
    seed : int or None
        Seed of the choice among equal instances.
    """

    def __init__(
        self, own_address: str = "", data_centre: str = "", seed: int | None = None
    ) -> None:
        self._own_address = own_address
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._view = View()
        self._paths: dict[str, _Path] = {}
        self._last_success_at = -math.inf
        # Targets that failed since the last success on any path, and those of them that
        # other instances reached.
        self._failed_since_success: set[str] = set()
        self._lost_since_success: set[str] = set()
        # Targets that were reached neither directly nor through others since any target
        # was reached in either way.
        self._unreached: set[str] = set()
        self._partitioned_at = math.inf
        self._last_failure_at = -math.inf
        self._next_retry_at = 0.0
        self._next_check_at = 0.0
        self._unreachable_until = -math.inf
        self._peer_penalty_until: dict[str, float] = {}
        self._data_centre_penalty_until: dict[str, float] = {}

    @property
    def is_partitioned(self) -> bool:
        """Whether this instance seems to reach no target."""
        return self._partitioned_at < math.inf

    @property
    def reaches_nothing(self) -> bool:
        """Whether neither this instance nor others reach most of the targets."""
        return len(self._unreached) >= max(MIN_LOST_PATHS, len(self._paths) / 2)

    @property
    def lost_count(self) -> int:
        """Number of targets whose direct path is lost."""
        return sum(path.is_lost for path in self._paths.values())

    def apply_view(self, view: View) -> None:
        """Apply the live instances."""
        self._view = view

    def keep(self, names: Iterable[str]) -> None:
        """Forget the paths to all targets but these."""
        known = set(names)
        self._paths = {n: path for n, path in self._paths.items() if n in known}
        self._failed_since_success &= known
        self._lost_since_success &= known
        self._unreached &= known

    def fails_elsewhere(self, name: str) -> bool:
        """Return whether another target failed and nothing has succeeded since.

        A failure at this target then says little about it.
        """
        return bool(self._failed_since_success - {name})

    def is_lost(self, name: str) -> bool:
        """Return whether a target is better reached through another instance."""
        path = self._paths.get(name)
        if path is not None and path.is_lost:
            return True
        return self.is_partitioned and self.has_peer

    def lost_since(self, name: str) -> float:
        """Return when the direct path to a target was lost; infinity if it was not."""
        path = self._paths.get(name)
        if path is not None and path.is_lost:
            return path.failed_at
        return self._partitioned_at

    def slow_connect_s(self, name: str) -> float:
        """Return the seconds after which a direct connection counts as slow."""
        path = self._paths.get(name)
        if path is None:
            return INITIAL_SLOW_CONNECT_S
        usual = SLOW_CONNECT_FACTOR * path.connect_s
        return min(MAX_SLOW_CONNECT_S, max(MIN_SLOW_CONNECT_S, usual))

    def take_check(self, name: str, due: float, now: float) -> bool:
        """Return whether to check a path on which an overdue request is silent.

        One silent target alone is likely to be at fault itself.

        Parameters
        ----------
        name : str
            The target.
        due, now : float
            When the silence became too long, and the current time, on the loop's clock.
            A path that has succeeded since needs no check.
        """
        path = self._path(name)
        if now < due or path.succeeded_at > due:
            return False
        path.silent_at = now
        oldest = now - COMPARED_WITHIN_S
        silent = sum(other.silent_at > oldest for other in self._paths.values())
        if silent < MIN_LOST_PATHS or now < self._next_check_at:
            return False
        self._next_check_at = now + CHECK_INTERVAL_S
        return True

    def take_retry(self, name: str, now: float) -> bool:
        """Return whether to try the direct path; a lost one is tried at intervals."""
        if not self.is_lost(name):
            return True
        path = self._path(name)
        if now < max(path.retry_at, self._next_retry_at):
            return False
        path.retry_at = now + RETRY_INTERVAL_S
        self._next_retry_at = now + RETRY_INTERVAL_OF_ALL_S
        return True

    def record_success(self, name: str, seconds: float, now: float) -> None:
        """Record a direct connection that took some seconds."""
        path = self._path(name)
        path.connect_s += CONNECT_LEARNING_RATE * (seconds - path.connect_s)
        if path.is_lost:
            decision("path-regained", target=name, after=round(now - path.failed_at, 3))
        path.failed_at, path.is_lost, path.unreachable_until = math.inf, False, 0.0
        path.succeeded_at = self._last_success_at = now
        self._failed_since_success.clear()
        self._lost_since_success.clear()
        self._unreached.clear()
        if self.is_partitioned:
            self._end_partition(name, now)
            for other in self._paths.values():
                other.retry_at = now
            self._next_retry_at = now

    def _end_partition(self, name: str, now: float) -> None:
        seconds = round(now - self._partitioned_at, 3)
        decision("targets-reached-again", target=name, after=seconds)
        self._partitioned_at = math.inf

    def expire(self, now: float) -> None:
        """Assume the end of a partition if no connection has been tried for a while."""
        if self.is_partitioned and now > self._last_failure_at + PARTITION_MEMORY_S:
            self._failed_since_success.clear()
            self._lost_since_success.clear()
            self._end_partition("", now)

    def record_failure(
        self, name: str, error: str, now: float, started: float = math.inf
    ) -> None:
        """Record a direct connection that failed.

        Parameters
        ----------
        name : str
            The target.
        error : str
            What failed.
        now : float
            Seconds on the loop's clock.
        started : float
            When the attempt began. One that began before the last success may have
            failed in a partition that has ended since, so it is ignored.
        """
        path = self._path(name)
        if started < path.succeeded_at:
            return
        path.failed_at, path.error = min(path.failed_at, now), error
        self._last_failure_at = now
        self._failed_since_success.add(name)
        if path.is_lost or now < path.reached_by_peer_at + COMPARED_WITHIN_S:
            self._set_lost(name, now)

    def record_reached_by_peer(self, name: str, peer: str, now: float) -> None:
        """Record that another instance reached a target."""
        self._peer_penalty_until.pop(peer, None)
        for data_centre in self._data_centres_of(peer):
            self._data_centre_penalty_until.pop(data_centre, None)
        path = self._path(name)
        path.reached_by_peer_at, path.unreachable_until = now, 0.0
        self._unreached.clear()
        if path.failed_at < math.inf:
            self._set_lost(name, now)

    def _set_lost(self, name: str, now: float) -> None:
        path = self._path(name)
        if not path.is_lost:
            path.is_lost, path.retry_at = True, now + RETRY_INTERVAL_S
            decision("path-lost", target=name, error=path.error)
        self._lost_since_success.add(name)
        lost = len(self._lost_since_success)
        if not self.is_partitioned and lost >= min(MIN_LOST_PATHS, len(self._paths)):
            self._partitioned_at = now
            decision(
                "targets-unreachable-from-here",
                lost=sorted(self._lost_since_success),
                last_success=round(now - max(0.0, self._last_success_at), 3),
            )

    def record_response(self) -> None:
        """Record that a target responded, on whichever connection."""
        self._unreached.clear()

    def record_unreachable(self, name: str, now: float) -> None:
        """Record that a target was reached neither directly nor through others."""
        self._path(name).unreachable_until = now + UNREACHABLE_S
        self._unreached.add(name)
        self._unreachable_until = now + UNREACHABLE_S

    def has_unreachable(self, now: float) -> bool:
        """Return whether any target may be left alone for now."""
        return now < self._unreachable_until

    def names_unreachable(self, names: Iterable[str], now: float) -> list[str]:
        """Return which of a pool's targets to leave alone; none if it is all of them.

        Parameters
        ----------
        names : iterable of str
            The targets of the pool.
        now : float
            Seconds on the loop's clock.
        """
        names = list(names)
        found = [n for n in names if self._is_unreachable(n, now)]
        return found if len(found) < len(names) else []

    def _is_unreachable(self, name: str, now: float) -> bool:
        path = self._paths.get(name)
        return path is not None and now < path.unreachable_until

    def peers(self, now: float, used: Mapping[str, int]) -> list[Member]:
        """Return the instances to ask for a connection, the best first.

        Data centres take turns, the own one first, since all instances of one may have
        lost their links at the same moment. Within one, they come by tunnels in use and
        capacity.

        Parameters
        ----------
        now : float
            Seconds on the loop's clock.
        used : dict of str to int
            Number of tunnels in use by the peer address that they lead through.
        """
        candidates = list(self._candidates())
        self._random.shuffle(candidates)
        candidates.sort(
            key=lambda member: (
                now < self._peer_penalty_until.get(member.peer_address, 0.0),
                used.get(member.peer_address, 0) / max(1, member.capacity),
            )
        )
        by_data_centre = defaultdict(list)
        for member in candidates:
            by_data_centre[member.data_centre].append(member)
        data_centres = sorted(
            by_data_centre,
            key=lambda name: (
                now < self._data_centre_penalty_until.get(name, 0.0),
                name != self._data_centre,
                candidates.index(by_data_centre[name][0]),
            ),
        )
        turns = zip_longest(*(by_data_centre[name] for name in data_centres))
        in_turn = filter(None, chain.from_iterable(turns))
        return list(islice(in_turn, MAX_PEERS))

    def _candidates(self) -> Iterable[Member]:
        known = (*self._view.members.values(), *self._view.followers.values())
        return (
            member
            for member in known
            if member.accepts_tunnels
            and not member.leaving
            and member.peer_address != self._own_address
        )

    @property
    def has_peer(self) -> bool:
        """Whether any other instance may be asked."""
        return any(True for _member in self._candidates())

    def penalize_peer(self, peer: str, now: float) -> None:
        """Ask an instance last for a while, and its data centre; it could not help."""
        self._peer_penalty_until[peer] = now + PEER_PENALTY_S
        for data_centre in self._data_centres_of(peer):
            self._data_centre_penalty_until[data_centre] = now + PEER_PENALTY_S

    def _data_centres_of(self, peer: str) -> Iterable[str]:
        candidates = self._candidates()
        return (m.data_centre for m in candidates if m.peer_address == peer)

    def _path(self, name: str) -> _Path:
        if name not in self._paths:
            self._paths[name] = _Path()
        return self._paths[name]
