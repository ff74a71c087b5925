"""hibiscusstep.routing.target_selector: selection of a target for a request."""

import math

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import PlannedPool
from hibiscusstep.routing.engine_model import (
    ENGINE_STEP_S,
    UNKNOWN_CHUNK_S,
    AnswerLengths,
    EngineModel,
    PrefillChunk,
    ServiceTimes,
)
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.switches import Switches

__all__ = ["TargetSelector"]

# Initial estimate for a request of a plain service. The slowness of each target is
# learned relative to it.
PLAIN_REQUEST_S = 0.05
# Streams with fewer events say too little about the speed of a target.
MIN_EVENTS = 6
# Maximum number of targets whose costs are logged with a grant.
MAX_LOGGED_COSTS = 6
# Cost per second by which the first token would be late. Cost in seconds for each
# running stream whose pauses would exceed this share of the longest allowed pause.
LATENESS_WEIGHT = 5.0
LONG_PAUSE_COST_S = 0.5
MAX_PAUSE_SHARE = 0.85
# Traffic between data centres is paid for: among targets of equal cost the local one is
# taken. The cost equals about six engine steps, so a less busy remote target is still
# preferred.
REMOTE_COST_S = 0.02
# A stream that can still be in time waits until the remaining time is this multiple of
# the seconds to its first token, since targets are seldom idle.
FIRST_TOKEN_MARGIN = 1.5
# Minimum time after which a request counts as overdue. Messages and busy instances take
# less than that to report an end.
MIN_OVERDUE_S = 0.5
# Assumed slowness of a target without observations, where too low a value would be
# harmful.
UNKNOWN_SLOWNESS = 4.0


class TargetSelector:
    """Selector of targets by estimated cost, with estimates learned for the pool.

    Parameters
    ----------
    switches : Switches
        The enabled mechanisms.

    Attributes
    ----------
    min_slowness : float
        Slowness of the fastest usable target.
    mean_slowness : float
        Expected slowness of the target whose slot is free next: the mean of the usable
        targets, weighted by their service rates.
    """

    def __init__(self, switches: Switches) -> None:
        self._switches = switches
        self._model = EngineModel()
        self._answer_lengths = AnswerLengths()
        self._prefill_chunk = PrefillChunk()
        self._is_engine = True
        self._tokens_per_event = 1
        self._max_pause = 1.0
        self._service_times = ServiceTimes()
        self.min_slowness = 1.0
        self.mean_slowness = 1.0

    def configure(self, pool: PlannedPool) -> None:
        """Apply the pool's configuration."""
        self._is_engine = pool.is_engine
        self._tokens_per_event = pool.tokens_per_event
        self._max_pause = pool.max_pause

    def estimates(self, slowness: dict[str, float]) -> m.LearnedEstimates:
        """Return the estimates for the pool, with the slowness of its targets."""
        chunk_s = self._prefill_chunk.max_seconds
        known = chunk_s if chunk_s != UNKNOWN_CHUNK_S else 0.0
        return m.LearnedEstimates(
            slowness, self._model.base_seconds, self._model.seconds_per_token, known
        )

    def import_estimates(self, imported: m.LearnedEstimates) -> None:
        """Use another dispatcher's estimates where there are no observations."""
        if imported.seconds_per_prompt_token and not self._model.observations:
            self._model.reset(imported.base_seconds, imported.seconds_per_prompt_token)
        if (
            imported.prefill_chunk_s
            and self._prefill_chunk.max_seconds == UNKNOWN_CHUNK_S
        ):
            self._prefill_chunk.max_seconds = imported.prefill_chunk_s

    def record_first_token(
        self, target: SlotTarget, run: Run, seconds: float, now: float
    ) -> None:
        """Update the estimates by a first token, `seconds` after the dispatch."""
        if not self._is_engine:
            return
        host_factor = target.mean_host_factor(now - seconds, now)
        if not target.observations:
            target.observe_first_token(seconds / run.expected_first_token, host_factor)
        elif run.prefilled_alone and self._switches.engine_model:
            usual = seconds / (target.own_slowness * host_factor)
            self._model.observe(run.work.prompt_tokens, usual)

    def prefill_seconds(self, work: m.Work) -> float:
        """Return the estimated prefill time of a prompt at slowness 1, in seconds."""
        return (
            self._model.prefill_seconds(work.prompt_tokens) if self._is_engine else 0.0
        )

    def service_seconds(self, work: m.Work) -> float:
        """Return the estimated service time of a request at slowness 1, in seconds."""
        if not self._is_engine:
            return PLAIN_REQUEST_S
        return self._model.answer_seconds(work.prompt_tokens, work.output_tokens)

    def first_token_seconds(self, work: m.Work) -> float:
        """Return the estimated time to the first token at slowness 1, in seconds."""
        if not self._is_engine:
            return PLAIN_REQUEST_S
        return self._model.base_seconds + self._model.prefill_seconds(
            work.prompt_tokens
        )

    def serve_time_bound(self, work: m.Work) -> float:
        """Return the seconds from the start within which most such requests are served.

        A stream is served at its first token, a request of a plain service at its end.
        """
        if self._is_engine or not self._switches.service_times:
            return (
                FIRST_TOKEN_MARGIN * self.min_slowness * self.first_token_seconds(work)
            )
        return self.mean_slowness * PLAIN_REQUEST_S * self._service_times.upper_ratio

    def duration_bound(self, target: SlotTarget, work: m.Work, now: float) -> float:
        """Return the seconds in which four of five such requests end at a target."""
        slowness = target.slowness
        if not target.observations:
            slowness = max(slowness, UNKNOWN_SLOWNESS)
        seconds = self.first_token_seconds(work) + target.remaining_prefill(now)
        if self._is_engine:
            seconds += (
                self._answer_lengths.upper_bound(work.output_tokens) * ENGINE_STEP_S
            )
        return max(MIN_OVERDUE_S, slowness * seconds)

    def time_ratio(
        self, target: SlotTarget, run: Run, tokens: int, now: float
    ) -> float:
        """Return the ratio of a request's duration to the estimate at slowness 1.

        The delay by other work on the target's host is left out.
        """
        duration = (now - run.granted) / target.mean_host_factor(run.granted, now)
        if not self._is_engine:
            return duration / PLAIN_REQUEST_S
        steps = tokens * self._tokens_per_event
        expected = (
            run.expected_first_token + steps * ENGINE_STEP_S
            if steps
            else run.service_seconds
        )
        return duration / max(ENGINE_STEP_S, expected)

    def running_time_ratio(self, target: SlotTarget, run: Run, now: float) -> float:
        """Return the ratio of a running request's time so far to the estimate.

        The length of the answer is not known yet and may exceed the caller's hint, so
        the estimate uses a length that four of five answers do not exceed. The delay by
        other work on the target's host is left out.
        """
        duration = (now - run.granted) / target.mean_host_factor(run.granted, now)
        if not self._is_engine:
            return duration / PLAIN_REQUEST_S
        tokens = self._answer_lengths.upper_bound(run.work.output_tokens)
        expected = run.expected_first_token + tokens * ENGINE_STEP_S
        return duration / max(ENGINE_STEP_S, expected)

    def record_answer(
        self, target: SlotTarget, run: Run, finished: m.Finished, now: float
    ) -> None:
        """Update the estimates by a complete answer."""
        target.record_success()
        if not self._is_engine:
            ratio = (now - run.granted) / run.service_seconds
            host_factor = target.mean_host_factor(run.granted, now)
            usual = ratio / (target.own_slowness * host_factor)
            self._service_times.observe(usual)
            target.observe(ratio, host_factor)
        elif finished.tokens >= MIN_EVENTS:
            # The rate of events measures the speed of the target. The rest of the
            # answer's time depends more on the target's other requests.
            steps = (finished.tokens - 1) * self._tokens_per_event
            started = now - abs(finished.decode_seconds)
            host_factor = target.mean_host_factor(started, now)
            ratio = finished.decode_seconds / (steps * ENGINE_STEP_S)
            target.observe(ratio, host_factor)
            if finished.longest_pause and self._switches.reading_share:
                slowness = target.own_slowness * host_factor
                pause = finished.longest_pause / slowness
                steps = self._tokens_per_event * ENGINE_STEP_S
                self._prefill_chunk.observe(pause - steps, run.max_concurrent_prefill)
        if self._is_engine and finished.tokens:
            tokens = finished.tokens * self._tokens_per_event
            self._answer_lengths.observe(run.work.output_tokens, tokens)

    def candidate_costs(self, work: m.Work, free, now: float) -> dict[str, float]:
        """Return the costs of some available targets, for the log."""
        own = self.service_seconds(work)
        return {
            t.name: round(self._weighted_cost(t, work, own, now), 3)
            for t in free[:MAX_LOGGED_COSTS]
        }

    def choose(self, work: m.Work, free, usable, now: float) -> SlotTarget | None:
        """Return the best available target; None if another is worth waiting for.

        Parameters
        ----------
        work : Work
            The request.
        free : list of SlotTarget
            Targets with a free slot.
        usable : list of SlotTarget
            Targets to wait for if they serve in time, with or without a free slot.
        now : float
            Seconds on the dispatcher's clock.
        """
        own = self.service_seconds(work)
        preferred = [target for target in free if target.name not in work.avoid] or free
        if not self._is_engine:
            return min(preferred, key=lambda t: t.cost(own))
        best = min(preferred, key=lambda t: self._weighted_cost(t, work, own, now))
        overdue = not work.first_token_due and now >= work.deadline
        if overdue or self._serves_in_time([best], work, now):
            return best
        if self._serves_in_time(usable, work, now):
            return None
        return self._choose_when_late(work, preferred, best, now)

    def _choose_when_late(
        self, work: m.Work, free, best: SlotTarget, now: float
    ) -> SlotTarget | None:
        """Return the target for a request that no target serves in time.

        It waits for a target where it does not delay running streams: a prompt of
        54,600 tokens on a slow target made all of its ten streams late.
        """
        prefill = self._model.prefill_seconds(work.prompt_tokens)
        unaffected = [
            target
            for target in free
            if not target.running
            or not self._delays_streams(target, target.remaining_prefill(now) + prefill)
        ]
        if unaffected:
            own = self.service_seconds(work)
            return min(unaffected, key=lambda t: self._weighted_cost(t, work, own, now))
        # If even the fastest target would delay its streams, waiting does not help.
        pause = self.min_slowness * self._pause_seconds(prefill)
        return None if pause <= MAX_PAUSE_SHARE * self._max_pause else best

    def _serves_in_time(self, targets, work: m.Work, now: float) -> bool:
        """Return whether at least one of the targets serves a request in time.

        That requires a first token and an end in time, and no overlong pauses of the
        streams that run at the target. Most of a decision's time is spent here, so
        values that do not depend on the target are computed before the loop.
        """
        prefill = self._model.prefill_seconds(work.prompt_tokens)
        until_first_token = prefill + self._model.base_seconds
        due = work.first_token_due or math.inf
        ends, decoding = math.inf, 0.0
        if work.answer_due and self._switches.answer_end:
            ends = work.answer_due
            decoding = (
                self._answer_lengths.upper_bound(work.output_tokens) * ENGINE_STEP_S
            )
        steps, max_prefill = (
            self._tokens_per_event * ENGINE_STEP_S,
            self._prefill_chunk.max_seconds,
        )
        pause_limit = MAX_PAUSE_SHARE * self._max_pause
        for target in targets:
            slowness, pending = target.slowness, target.remaining_prefill(now)
            first = now + slowness * (pending + until_first_token)
            if first > due or first + slowness * decoding > ends:
                continue
            pause = slowness * (steps + min(max_prefill, pending + prefill))
            if pause <= pause_limit or not target.running:
                return True
        return False

    def _delays_streams(self, target: SlotTarget, prefill_seconds: float) -> bool:
        """Return whether prefill makes the pauses of a target's streams too long."""
        pause = target.slowness * self._pause_seconds(prefill_seconds)
        return pause > MAX_PAUSE_SHARE * self._max_pause

    def _pause_seconds(self, prefill_seconds: float) -> float:
        """Return the estimated seconds between events at slowness 1 during prefill."""
        steps = self._tokens_per_event * ENGINE_STEP_S
        return steps + self._prefill_chunk.between_events(prefill_seconds)

    def _weighted_cost(
        self, target: SlotTarget, work: m.Work, own: float, now: float
    ) -> float:
        """Return the cost of a request at a target in seconds, with others' delays."""
        prefill_seconds = target.remaining_prefill(now) + self._model.prefill_seconds(
            work.prompt_tokens
        )
        total = target.cost(own)
        if target.data_centre != work.data_centre:
            total += REMOTE_COST_S
        if work.first_token_due:
            late = (
                now
                + target.slowness * (prefill_seconds + self._model.base_seconds)
                - work.first_token_due
            )
            if late > 0:
                total += LATENESS_WEIGHT * late
        if target.running and self._delays_streams(target, prefill_seconds):
            total += LONG_PAUSE_COST_S * len(target.running)
        return total
