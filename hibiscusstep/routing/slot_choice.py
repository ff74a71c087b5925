"""hibiscusstep.routing.slot_choice: which free target a request goes to."""

import math

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.engine_model import (
    STEP_S,
    UNKNOWN_CHUNK_S,
    AnswerLengths,
    EngineModel,
    PrefillChunk,
    ServiceTimes,
)
from hibiscusstep.routing.plan import PlannedPool
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.switches import Switches

__all__ = ["TargetSelector"]

# A plain service's first guess; its targets' slowness against it is learnt.
PLAIN_SERVICE_S = 0.05
# Streams with fewer events tell too little of a target's pace.
MIN_EVENTS = 6
# Targets whose prices stand in the log with a grant.
MAX_LOGGED_COSTS = 6
# Weight of a second by which a first token would be late, and seconds that a stream is
# charged whose pauses would grow too long, from this part of the longest pause on.
LATENESS_WEIGHT = 5.0
LONG_PAUSE_COST_S = 0.5
MAX_PAUSE_SHARE = 0.85
# Bytes between data centres are paid for: of targets that serve alike the near one is
# taken. Six steps of an engine, so that a less busy target still goes first.
REMOTE_COST_S = 0.02
# A stream that can still be in time waits until so many times the seconds of its first
# token are left: a target is seldom idle.
FIRST_TOKEN_MARGIN = 1.5
# An end that is not told by then is overdue at the soonest: less is spent on the way,
# and on instances that are busy.
MIN_OVERDUE_S = 0.5
# Slowness of a target that nothing is known of, where too little would do harm.
UNKNOWN_SLOWNESS = 4.0


class TargetSelector:
    """Weighs the targets of a pool for a request, by what was learnt of the pool.

    Parameters
    ----------
    switches : Switches
        Which mechanisms are on.

    Attributes
    ----------
    min_slowness : float
        Slowness of the fastest target that may be used.
    mean_slowness : float
        Slowness of the target that is free next, in the mean.
    """

    def __init__(self, switches: Switches) -> None:
        self._switches = switches
        self._engine_model = EngineModel()
        self._answer_lengths = AnswerLengths()
        self._prefill_chunk = PrefillChunk()
        self._is_engine = True
        self._tokens_per_event = 1
        self._max_pause = 1.0
        self._service_times = ServiceTimes()
        self.min_slowness = 1.0
        self.mean_slowness = 1.0

    def configure(self, pool: PlannedPool) -> None:
        """Take what is configured for the pool."""
        self._is_engine = pool.engine
        self._tokens_per_event = pool.tokens_per_event
        self._max_pause = pool.max_pause

    def estimates(self, slowness: dict[str, float]) -> m.Learnt:
        """Return what was learnt of the pool, beside the slowness of its targets."""
        share = self._prefill_chunk.most
        known = share if share != UNKNOWN_CHUNK_S else 0.0
        return m.Learnt(
            slowness,
            self._engine_model.first,
            self._engine_model.token,
            known,
        )

    def import_estimates(self, imported: m.Learnt) -> None:
        """Take over what others learnt, where nothing was learnt here."""
        if imported.token and not self._engine_model.learnt:
            self._engine_model.reset(imported.first, imported.token)
        if imported.share and self._prefill_chunk.most == UNKNOWN_CHUNK_S:
            self._prefill_chunk.most = imported.share

    def record_first_token(self, target: SlotTarget, run: Run, seconds: float) -> None:
        """Learn from a first token that came `seconds` after the dispatch."""
        if not self._is_engine:
            return
        if not target.learnt:
            target.observe_first_token(seconds / run.expected_first)
        elif run.alone and self._switches.engine_model:
            self._engine_model.observe(
                run.work.prompt_tokens, seconds / target.slowness
            )

    def prefill_seconds(self, work: m.Work) -> float:
        """Return the guessed seconds of a prompt on a target of slowness 1."""
        return (
            self._engine_model.prefill_seconds(work.prompt_tokens)
            if self._is_engine
            else 0.0
        )

    def service_seconds(self, work: m.Work) -> float:
        """Return the guessed seconds of a request on a target of slowness 1."""
        if not self._is_engine:
            return PLAIN_SERVICE_S
        return self._engine_model.answer_seconds(work.prompt_tokens, work.output_tokens)

    def first_token_seconds(self, work: m.Work) -> float:
        """Return the guessed seconds to a first token on a target of slowness 1."""
        if not self._is_engine:
            return PLAIN_SERVICE_S
        return self._engine_model.first + self._engine_model.prefill_seconds(
            work.prompt_tokens
        )

    def serve_time_bound(self, work: m.Work) -> float:
        """Return the seconds in which most such requests are served, from their start.

        That of a stream is its first token, of a plain service the whole run.
        """
        if self._is_engine or not self._switches.service_times:
            return (
                FIRST_TOKEN_MARGIN * self.min_slowness * self.first_token_seconds(work)
            )
        return self.mean_slowness * PLAIN_SERVICE_S * self._service_times.upper_ratio

    def duration_bound(self, target: SlotTarget, work: m.Work, now: float) -> float:
        """Return the seconds in which four of five such requests end at a target."""
        slowness = target.slowness
        if not target.learnt:
            slowness = max(slowness, UNKNOWN_SLOWNESS)
        seconds = self.first_token_seconds(work) + target.remaining_prefill(now)
        if self._is_engine:
            seconds += self._answer_lengths.upper_bound(work.output_tokens) * STEP_S
        return max(MIN_OVERDUE_S, slowness * seconds)

    def time_ratio(self, run: Run, tokens: int, now: float) -> float:
        """Return the seconds of a request against those on a target of slowness 1."""
        if not self._is_engine:
            return (now - run.granted) / PLAIN_SERVICE_S
        steps = tokens * self._tokens_per_event
        expected = run.expected_first + steps * STEP_S if steps else run.cost
        return (now - run.granted) / max(STEP_S, expected)

    def running_time_ratio(self, run: Run, now: float) -> float:
        """Return the same of a request that still runs, whose end is not known.

        An answer may be longer than its caller told, so most of its likely length is
        taken for expected.
        """
        if not self._is_engine:
            return (now - run.granted) / PLAIN_SERVICE_S
        tokens = self._answer_lengths.upper_bound(run.work.output_tokens)
        expected = run.expected_first + tokens * STEP_S
        return (now - run.granted) / max(STEP_S, expected)

    def record_answer(
        self, target: SlotTarget, run: Run, finished: m.Finished, now: float
    ) -> None:
        """Learn from a whole answer."""
        target.record_success()
        if not self._is_engine:
            ratio = (now - run.granted) / run.cost
            self._service_times.observe(ratio / target.slowness)
            target.observe(ratio)
        elif finished.tokens >= MIN_EVENTS:
            # The pace of events tells the speed; the rest of an answer's time tells
            # more of what else the target has to do.
            steps = (finished.tokens - 1) * self._tokens_per_event
            target.observe(finished.decode_seconds / (steps * STEP_S))
            if finished.longest_pause and self._switches.reading_share:
                pause = finished.longest_pause / target.slowness
                steps = self._tokens_per_event * STEP_S
                self._prefill_chunk.observe(pause - steps, run.beside)
        if self._is_engine and finished.tokens:
            tokens = finished.tokens * self._tokens_per_event
            self._answer_lengths.observe(run.work.output_tokens, tokens)

    def candidate_costs(self, work: m.Work, free, now: float) -> dict[str, float]:
        """Return the prices of some free targets, for the log."""
        own = self.service_seconds(work)
        return {
            t.name: round(self._price(t, work, own, now), 3)
            for t in free[:MAX_LOGGED_COSTS]
        }

    def choose(self, work: m.Work, free, usable, now: float) -> SlotTarget | None:
        """Return the best of the free targets; None if another is worth the wait."""
        own = self.service_seconds(work)
        others = [target for target in free if target.name not in work.avoid] or free
        if not self._is_engine:
            return min(others, key=lambda t: t.cost(own))
        best = min(others, key=lambda t: self._price(t, work, own, now))
        overdue = not work.due and now >= work.deadline
        if overdue or self._serves_in_time([best], work, now):
            return best
        if self._serves_in_time(usable, work, now):
            return None
        return self._choose_when_late(work, others, best, now)

    def _choose_when_late(
        self, work: m.Work, free, best: SlotTarget, now: float
    ) -> SlotTarget | None:
        """Return the target for a request that is in time nowhere.

        It waits for one where it does not hold up the streams that run there: a prompt
        of 54,600 tokens on a slow target made all ten of them late.
        """
        prefill = self._engine_model.prefill_seconds(work.prompt_tokens)
        unaffected = [
            target
            for target in free
            if not target.running
            or not self._delays_streams(target, target.remaining_prefill(now) + prefill)
        ]
        if unaffected:
            own = self.service_seconds(work)
            return min(unaffected, key=lambda t: self._price(t, work, own, now))
        # Where even the fastest target would hold up its streams, none is waited for.
        pause = self.min_slowness * self._pause_seconds(prefill)
        return None if pause <= MAX_PAUSE_SHARE * self._max_pause else best

    def _serves_in_time(self, targets, work: m.Work, now: float) -> bool:
        """Whether one of some targets serves a request well.

        Its first token would be on time, its end too, and the pauses of the streams
        that run there. Most of a decision's time goes here, so nothing is called in the
        loop that can be reckoned before it.
        """
        prefill = self._engine_model.prefill_seconds(work.prompt_tokens)
        reading = prefill + self._engine_model.first
        due = work.due or math.inf
        ends, decoding = math.inf, 0.0
        if work.ends and self._switches.answer_end:
            ends = work.ends
            decoding = self._answer_lengths.upper_bound(work.output_tokens) * STEP_S
        steps, max_prefill = (
            self._tokens_per_event * STEP_S,
            self._prefill_chunk.most,
        )
        longest = MAX_PAUSE_SHARE * self._max_pause
        for target in targets:
            slowness, left = target.slowness, target.remaining_prefill(now)
            first = now + slowness * (left + reading)
            if first > due or first + slowness * decoding > ends:
                continue
            pause = slowness * (steps + min(max_prefill, left + prefill))
            if pause <= longest or not target.running:
                return True
        return False

    def _delays_streams(self, target: SlotTarget, prefill_seconds: float) -> bool:
        """Whether prompts make the pauses of the streams at a target too long."""
        pause = target.slowness * self._pause_seconds(prefill_seconds)
        return pause > MAX_PAUSE_SHARE * self._max_pause

    def _pause_seconds(self, prefill_seconds: float) -> float:
        """Return the guessed seconds between events at slowness 1 beside prompts."""
        steps = self._tokens_per_event * STEP_S
        return steps + self._prefill_chunk.between_events(prefill_seconds)

    def _price(self, target: SlotTarget, work: m.Work, own: float, now: float) -> float:
        """Return the weighed seconds of a request, and of what it does to others."""
        prefill_seconds = target.remaining_prefill(
            now
        ) + self._engine_model.prefill_seconds(work.prompt_tokens)
        price = target.cost(own)
        if target.data_centre != work.data_centre:
            price += REMOTE_COST_S
        if work.due:
            late = (
                now
                + target.slowness * (prefill_seconds + self._engine_model.first)
                - work.due
            )
            if late > 0:
                price += LATENESS_WEIGHT * late
        if target.running and self._delays_streams(target, prefill_seconds):
            price += LONG_PAUSE_COST_S * len(target.running)
        return price
