"""hibiscusstep.policies.expected_work: place by learnt speed and expected work."""

import math
from statistics import median

from hibiscusstep.policy import Policy

__all__ = ["ExpectedWorkPolicy"]

LONG_PREFILL_S = 0.25
LONG_SHARE = 0.5
NEARLY_DONE_S = 0.1


class ExpectedWorkPolicy(Policy):
    """Earliest expected end; long prompts are kept off part of the targets.

    A prompt whose prefill takes over `LONG_PREFILL_S` is long. One long prefill
    runs on a target at a time, on at most `LONG_SHARE` of the targets, and short
    prompts wait rather than queue behind one: they would not start sooner there.

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
        allowed = targets if alone else self._allowed(work, targets, live)
        if not allowed:
            return None
        return min(allowed, key=lambda target: self._cost(work, target))

    def _allowed(self, work, targets, live):
        clear = [target for target in targets if not _held_up(target)]
        if not self._long_here(work, targets):
            return clear
        busy = sum(1 for target in live if _held_up(target))
        if busy >= max(1, math.floor(len(live) * LONG_SHARE)):
            return []
        return clear

    def _long_here(self, work, targets):
        return all(
            (work.prompt_tokens - target.cached_tokens(work)) / target.prefill_rate
            > LONG_PREFILL_S
            for target in targets
        )

    def _cost(self, work, target):
        uncached = work.prompt_tokens - target.cached_tokens(work)
        harm = len(target.running) * uncached / target.prefill_rate
        return target.seconds_to_end(work) + harm


def _held_up(target) -> bool:
    return target.prefilling / target.prefill_rate > LONG_PREFILL_S + NEARLY_DONE_S
