"""hibiscusstep.routing.switches: which mechanisms of a dispatcher with slots are on."""

from dataclasses import dataclass, fields

__all__ = ["ALL_ON", "Switches"]


@dataclass(frozen=True, slots=True)
class Switches:
    """Each off only to measure what it is worth.

    Parameters
    ----------
    engine_model : bool
        Whether the time before a first token is learnt.
    reading_share : bool
        Whether it is learnt how long prompts hold up running streams.
    answer_end : bool
        Whether an answer begins only where it is expected to end in time.
    late_last : bool
        Whether those that can't be served in time go last within their rank, and are
        kept waiting instead of being refused again.
    useful_wait : bool
        Whether a request waits as long as it can still be served in time.
    kept_beliefs : bool
        Whether what was learnt is kept beyond the processes.
    rank_floor : bool
        Whether a rank that was granted much less often than all goes first.
    ask_overdue : bool
        Whether instances are asked for what they hold beyond its expected end.
    spread_alone : bool
        Whether instances that dispatch for themselves use different targets.
    short_ranks : bool
        Whether a rank of short requests is granted as often as those above it.
    service_times : bool
        Whether a plain service's request waits until most runs would end late.
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

    @classmethod
    def without(cls, names: str) -> "Switches":
        """Return the switches with those of a list, by comma, turned off.

        Raises
        ------
        ValueError
            If a name is none of them.
        """
        off = [name.strip() for name in names.split(",") if name.strip()]
        known = {field.name for field in fields(cls)}
        unknown = sorted(set(off) - known)
        if unknown:
            raise ValueError(f"no such mechanism: {', '.join(unknown)}")
        return cls(**dict.fromkeys(off, False))


ALL_ON = Switches()
