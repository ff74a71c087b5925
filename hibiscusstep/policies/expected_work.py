"""hibiscusstep.policies.expected_work: place by learnt speed and expected work."""

import math
from statistics import median

from hibiscusstep.policy import Policy
from hibiscusstep.routing.estimate import LONG_PREFILL_S

__all__ = ["ExpectedWorkPolicy", "PrefixAffinityPolicy"]

LONG_SHARE = 0.5
SHORT_PLACES = 1
URGENT_LONG_SHARE = 0.7


class ExpectedWorkPolicy(Policy):
    """Earliest expected end; long prompts are kept off part of the targets.

    A prompt whose prefill takes over `LONG_PREFILL_S` is long. One long prefill
    runs on a target at a time, on at most `LONG_SHARE` of the targets, and leaves
    `SHORT_PLACES` of a target free; short prompts wait rather than queue behind one:
    they would not start sooner there. Urgent long prompts are bound less.

    Parameters
    ----------
    seed : int
        Unused; the policies share one signature.
    """

    name = "expected-work"
    aliases = ("default",)
    fair = True
    refuses_early = True

    def __init__(self, seed: int = 0) -> None:
        pass

    def long(self, work, targets):
        """Whether the whole prefill takes long on a typical target."""
        if not targets:
            return False
        rate = median(target.prefill_rate for target in targets)
        return work.prompt_tokens / rate > LONG_PREFILL_S

    def choose(self, work, targets, live, alone):
        """Return the target of the earliest expected end that may take the work."""
        allowed = self._allowed(work, targets, live, alone)
        if not allowed:
            return None
        if not alone and self._better_cached_elsewhere(work, allowed, live):
            return None
        return min(allowed, key=lambda target: self._cost(work, target))

    def _allowed(self, work, targets, live, alone):
        clear = [target for target in targets if not target.held_up]
        if not self._long_here(work, targets):
            return clear or self._sooner_than_waiting(work, targets, live)
        if not alone:
            clear = [target for target in clear if _keeps_short_places(target)]
        busy = sum(1 for target in live if target.held_up)
        share = URGENT_LONG_SHARE if alone else LONG_SHARE
        spare = len(clear) - 1 if alone else 0
        if busy >= max(1, math.floor(len(live) * share)) and spare < 1:
            return []
        return clear

    def _sooner_than_waiting(self, work, targets, live):
        """Return the held-up targets that begin sooner than a clear one is free."""
        waits = [
            run.predicted_first + run.work.output_tokens / target.decode_rate
            for target in live
            if not target.held_up
            for run in target.running.values()
        ]
        mean = sum(waits) / len(waits) / len(waits) if waits else math.inf
        return [t for t in targets if t.seconds_to_first(work) < mean]

    def _long_here(self, work, targets):
        return all(
            (work.prompt_tokens - target.cached_tokens(work)) / target.prefill_rate
            > LONG_PREFILL_S
            for target in targets
        )

    def _better_cached_elsewhere(self, work, allowed, live):
        """Whether a target without room has so much of a long prompt that it waits."""
        best = max(target.cached_tokens(work) for target in allowed)
        most = max(target.cached_tokens(work) for target in live)
        rate = median(target.prefill_rate for target in live)
        return (most - best) / rate > LONG_PREFILL_S

    def _cost(self, work, target):
        uncached = work.prompt_tokens - target.cached_tokens(work)
        harm = len(target.running) * uncached / target.prefill_rate
        return target.seconds_to_end(work) + harm


class PrefixAffinityPolicy(ExpectedWorkPolicy):
    """Like expected-work, but a cached prefix elsewhere is never waited for."""

    name = "prefix-affinity"
    aliases = ()

    def _better_cached_elsewhere(self, work, allowed, live):
        return False


def _keeps_short_places(target) -> bool:
    return target.free > min(SHORT_PLACES, target.max_running - 1)
