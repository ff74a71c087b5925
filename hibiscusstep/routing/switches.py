"""hibiscusstep.routing.switches: switches for the mechanisms of a slot dispatcher."""

from dataclasses import dataclass, fields

__all__ = ["ALL_ENABLED", "Switches"]


@dataclass(frozen=True, slots=True)
class Switches:
    """Enabled mechanisms; one is disabled only to measure its effect.

    Parameters
    ----------
    engine_model : bool
        Whether the time to the first token is learned.
    reading_share : bool
        Whether the delay of running streams by prefill is learned.
    answer_end : bool
        Whether an answer starts only on a target where it is expected to end in time.
    late_last : bool
        Whether requests that can no longer be served in time are last within their rank
        and stay queued instead of being refused again.
    useful_wait : bool
        Whether a request waits as long as it can still be served in time.
    kept_beliefs : bool
        Whether estimates are stored so that they survive a restart.
    rank_floor : bool
        Whether a rank with a share of grants far below the overall share goes first.
    ask_overdue : bool
        Whether instances are asked about requests that they hold beyond the expected
        end.
    spread_alone : bool
        Whether the standby dispatchers of the instances use different targets.
    short_ranks : bool
        Whether a rank of short requests is granted as often as those above it.
    service_times : bool
        Whether a plain service's request waits until most requests would end late.
    fair_shares : bool
        Whether customers share a rank by weight, where the pool's plan says so.
    planned_returns : bool
        Whether refusals name times with room, where the pool's plan says so.
    host_pace : bool
        Whether the pace of the targets' machines that they report is used.
    memory_bound : bool
        Whether a target is granted no more tokens than its memory holds.
    """

    engine_model: bool = True
    reading_share: bool = True
    answer_end: bool = True
    late_last: bool = True
    useful_wait: bool = True
    kept_beliefs: bool = True
    rank_floor: bool = True
    ask_overdue: bool = True
    spread_alone: bool = True
    short_ranks: bool = True
    service_times: bool = True
    fair_shares: bool = True
    planned_returns: bool = True
    host_pace: bool = True
    memory_bound: bool = True

    @classmethod
    def disabling(cls, names: str) -> "Switches":
        """Return the switches with the mechanisms of a comma-separated list disabled.

        Raises
        ------
        ValueError
            If a name is unknown.
        """
        off = [name.strip() for name in names.split(",") if name.strip()]
        known = {field.name for field in fields(cls)}
        unknown = sorted(set(off) - known)
        if unknown:
            raise ValueError(f"unknown mechanism: {', '.join(unknown)}")
        return cls(**dict.fromkeys(off, False))


ALL_ENABLED = Switches()
