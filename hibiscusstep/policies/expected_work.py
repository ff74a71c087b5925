"""hibiscusstep.policies.expected_work: placement by expected completion time."""

import math
from statistics import median

from hibiscusstep.policy import Policy
from hibiscusstep.routing.target_estimate import LONG_PREFILL_S

__all__ = ["ExpectedWorkPolicy", "PrefixAffinityPolicy"]

# Maximum share of the targets that run a long prefill, the number of slots that such a
# target keeps free for short prompts, and the maximum share for urgent long prompts.
LONG_SHARE = 0.5
RESERVED_SHORT_SLOTS = 1
URGENT_LONG_SHARE = 0.7


class ExpectedWorkPolicy(Policy):
    """Selects the earliest expected end and keeps some targets free of long prompts.

    A prompt is long if its prefill takes more than `LONG_PREFILL_S`. A target runs one
    long prefill at a time, at most `LONG_SHARE` of the targets run one, and each of
    these keeps `RESERVED_SHORT_SLOTS` slots free. Short prompts wait rather than queue
    behind a long prefill, because they would not start sooner there. The limits are
    weaker for urgent long prompts.

    Parameters
    ----------
    seed : int
        Unused; all policies have the same signature.
    """

    name = "expected-work"
    aliases = ("default",)
    fair = True
    refuses_early = True

    def __init__(self, seed: int = 0) -> None:
        pass

    def is_long(self, work, targets):
        """Whether a full prefill takes long at the median prefill rate."""
        if not targets:
            return False
        rate = median(target.prefill_rate for target in targets)
        return work.prompt_tokens / rate > LONG_PREFILL_S

    def choose(self, work, targets, usable_targets, urgent):
        """Return the allowed target with the lowest cost; None if the request waits."""
        allowed = self._allowed(work, targets, usable_targets, urgent)
        if not allowed:
            return None
        if not urgent and self._better_cached_elsewhere(work, allowed, usable_targets):
            return None
        return min(allowed, key=lambda target: self._cost(work, target))

    def _allowed(self, work, targets, usable_targets, urgent):
        unblocked = [target for target in targets if not target.prefill_blocked]
        if not self._is_long_uncached(work, targets):
            return unblocked or self._sooner_than_unblocked(
                work, targets, usable_targets
            )
        if not urgent:
            unblocked = [target for target in unblocked if _keeps_short_slots(target)]
        blocked_count = sum(1 for target in usable_targets if target.prefill_blocked)
        max_blocked_share = URGENT_LONG_SHARE if urgent else LONG_SHARE
        extra_unblocked = len(unblocked) - 1 if urgent else 0
        if (
            blocked_count >= max(1, math.floor(len(usable_targets) * max_blocked_share))
            and extra_unblocked < 1
        ):
            return []
        return unblocked

    def _sooner_than_unblocked(self, work, targets, usable_targets):
        """Return the targets that start a request before an unblocked one is free."""
        waits = [
            run.predicted_first_token_s + run.work.output_tokens / target.decode_rate
            for target in usable_targets
            if not target.prefill_blocked
            for run in target.running.values()
        ]
        expected_wait = sum(waits) / len(waits) / len(waits) if waits else math.inf
        return [t for t in targets if t.seconds_to_first(work) < expected_wait]

    def _is_long_uncached(self, work, targets):
        return all(
            (work.prompt_tokens - target.cached_tokens(work)) / target.prefill_rate
            > LONG_PREFILL_S
            for target in targets
        )

    def _better_cached_elsewhere(self, work, allowed, usable_targets):
        """Whether to wait for a target that has much more of the prompt cached."""
        best_allowed = max(target.cached_tokens(work) for target in allowed)
        best_anywhere = max(target.cached_tokens(work) for target in usable_targets)
        rate = median(target.prefill_rate for target in usable_targets)
        return (best_anywhere - best_allowed) / rate > LONG_PREFILL_S

    def _cost(self, work, target):
        uncached = work.prompt_tokens - target.cached_tokens(work)
        delay_to_others = len(target.running) * uncached / target.prefill_rate
        return target.seconds_to_end(work) + delay_to_others


class PrefixAffinityPolicy(ExpectedWorkPolicy):
    """Like expected-work, but never waits for a target with a cached prefix."""

    name = "prefix-affinity"
    aliases = ()

    def _better_cached_elsewhere(self, work, allowed, usable_targets):
        return False


def _keeps_short_slots(target) -> bool:
    return target.free > min(RESERVED_SHORT_SLOTS, target.max_running - 1)
