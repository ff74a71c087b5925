"""hibiscusstep.routing.slot_choice: which free target a request goes to."""

import math

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.engine_model import (
    FIRST_SHARE_S,
    STEP_S,
    AnswerLengths,
    EngineModel,
    ReadingShare,
    ServiceTimes,
)
from hibiscusstep.routing.plan import PlannedPool
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.switches import Switches

__all__ = ["SlotChoice"]

# A plain service's first guess; its targets' slowness against it is learnt.
PLAIN_SERVICE_S = 0.05
# Streams with fewer events tell too little of a target's pace.
MIN_EVENTS = 6
# Targets whose prices stand in the log with a grant.
LOGGED = 6
# Weight of a second by which a first token would be late, and seconds that a stream is
# charged whose pauses would grow too long, from this part of the longest pause on.
LATE_WEIGHT = 5.0
PAUSE_COST_S = 0.5
PAUSE_MARGIN = 0.85
# Bytes between data centres are paid for: of targets that serve alike the near one is
# taken. Six steps of an engine, so that a less busy target still goes first.
ELSEWHERE_COST_S = 0.02
# A stream that can still be in time waits until so many times the seconds of its first
# token are left: a target is seldom idle.
REACH_MARGIN = 1.5
# An end that is not told by then is overdue at the soonest: less is spent on the way,
# and on instances that are busy.
MIN_OVERDUE_S = 0.5
# Slowness of a target that nothing is known of, where too little would do harm.
UNKNOWN_SLOWNESS = 4.0


class SlotChoice:
    """Weighs the targets of a pool for a request, by what was learnt of the pool.

    Parameters
    ----------
    switches : Switches
        Which mechanisms are on.

    Attributes
    ----------
    fastest : float
        Slowness of the fastest target that may be used.
    usual : float
        Slowness of the target that is free next, in the mean.
    """

    def __init__(self, switches: Switches) -> None:
        self._switches = switches
        self._model = EngineModel()
        self._lengths = AnswerLengths()
        self._reading = ReadingShare()
        self._engine = True
        self._tokens_per_event = 1
        self._max_pause = 1.0
        self._service = ServiceTimes()
        self.fastest = 1.0
        self.usual = 1.0

    def configure(self, pool: PlannedPool) -> None:
        """Take what is configured for the pool."""
        self._engine = pool.engine
        self._tokens_per_event = pool.tokens_per_event
        self._max_pause = pool.max_pause

    def learnt(self, slowness: dict[str, float]) -> m.Learnt:
        """Return what was learnt of the pool, beside the slowness of its targets."""
        share = self._reading.most
        known = share if share != FIRST_SHARE_S else 0.0
        return m.Learnt(slowness, self._model.first, self._model.token, known)

    def believe(self, news: m.Learnt) -> None:
        """Take over what others learnt, where nothing was learnt here."""
        if news.token and not self._model.learnt:
            self._model.believe(news.first, news.token)
        if news.share and self._reading.most == FIRST_SHARE_S:
            self._reading.most = news.share

    def begun(self, target: SlotTarget, run: Run, seconds: float) -> None:
        """Learn from a first token that came `seconds` after the dispatch."""
        if not self._engine:
            return
        if not target.learnt:
            target.guess(seconds / run.expected_first)
        elif run.alone and self._switches.engine_model:
            self._model.learn(run.work.prompt_tokens, seconds / target.slowness)

    def prefill(self, work: m.Work) -> float:
        """Return the guessed seconds of a prompt on a target of slowness 1."""
        return self._model.prefill(work.prompt_tokens) if self._engine else 0.0

    def cost(self, work: m.Work) -> float:
        """Return the guessed seconds of a request on a target of slowness 1."""
        if not self._engine:
            return PLAIN_SERVICE_S
        return self._model.cost(work.prompt_tokens, work.output_tokens)

    def reach(self, work: m.Work) -> float:
        """Return the guessed seconds to a first token on a target of slowness 1."""
        if not self._engine:
            return PLAIN_SERVICE_S
        return self._model.first + self._model.prefill(work.prompt_tokens)

    def cautious_reach(self, work: m.Work) -> float:
        """Return the seconds in which most such requests are served, from their start.

        That of a stream is its first token, of a plain service the whole run.
        """
        if self._engine or not self._switches.service_times:
            return REACH_MARGIN * self.fastest * self.reach(work)
        return self.usual * PLAIN_SERVICE_S * self._service.cautious

    def longest(self, target: SlotTarget, work: m.Work, now: float) -> float:
        """Return the seconds in which four of five such requests end at a target."""
        slowness = target.slowness
        if not target.learnt:
            slowness = max(slowness, UNKNOWN_SLOWNESS)
        seconds = self.reach(work) + target.prefill_left(now)
        if self._engine:
            seconds += self._lengths.cautious(work.output_tokens) * STEP_S
        return max(MIN_OVERDUE_S, slowness * seconds)

    def ratio(self, run: Run, tokens: int, now: float) -> float:
        """Return the seconds of a request against those on a target of slowness 1."""
        if not self._engine:
            return (now - run.granted) / PLAIN_SERVICE_S
        steps = tokens * self._tokens_per_event
        expected = run.expected_first + steps * STEP_S if steps else run.cost
        return (now - run.granted) / max(STEP_S, expected)

    def ratio_so_far(self, run: Run, now: float) -> float:
        """Return the same of a request that still runs, whose end is not known.

        An answer may be longer than its caller told, so most of its likely length is
        taken for expected.
        """
        if not self._engine:
            return (now - run.granted) / PLAIN_SERVICE_S
        tokens = self._lengths.cautious(run.work.output_tokens)
        expected = run.expected_first + tokens * STEP_S
        return (now - run.granted) / max(STEP_S, expected)

    def learn(
        self, target: SlotTarget, run: Run, finished: m.Finished, now: float
    ) -> None:
        """Learn from a whole answer."""
        target.succeeded()
        if not self._engine:
            ratio = (now - run.granted) / run.cost
            self._service.learn(ratio / target.slowness)
            target.learn(ratio)
        elif finished.tokens >= MIN_EVENTS:
            # The pace of events tells the speed; the rest of an answer's time tells
            # more of what else the target has to do.
            steps = (finished.tokens - 1) * self._tokens_per_event
            target.learn(finished.decode_seconds / (steps * STEP_S))
            if finished.longest_pause and self._switches.reading_share:
                pause = finished.longest_pause / target.slowness
                steps = self._tokens_per_event * STEP_S
                self._reading.learn(pause - steps, run.beside)
        if self._engine and finished.tokens:
            tokens = finished.tokens * self._tokens_per_event
            self._lengths.learn(run.work.output_tokens, tokens)

    def weighed(self, work: m.Work, free, now: float) -> dict[str, float]:
        """Return the prices of some free targets, for the log."""
        own = self.cost(work)
        return {t.name: round(self._price(t, work, own, now), 3) for t in free[:LOGGED]}

    def choose(self, work: m.Work, free, usable, now: float) -> SlotTarget | None:
        """Return the best of the free targets; None if another is worth the wait."""
        own = self.cost(work)
        others = [target for target in free if target.name not in work.avoid] or free
        if not self._engine:
            return min(others, key=lambda t: t.cost(own))
        best = min(others, key=lambda t: self._price(t, work, own, now))
        overdue = not work.due and now >= work.deadline
        if overdue or self._serves_in_time([best], work, now):
            return best
        if self._serves_in_time(usable, work, now):
            return None
        return self._choose_without_harm(work, others, best, now)

    def _choose_without_harm(
        self, work: m.Work, free, best: SlotTarget, now: float
    ) -> SlotTarget | None:
        """Return the target for a request that is in time nowhere.

        It waits for one where it does not hold up the streams that run there: a prompt
        of 54,600 tokens on a slow target made all ten of them late.
        """
        prefill = self._model.prefill(work.prompt_tokens)
        spared = [
            target
            for target in free
            if not target.running
            or not self._harms(target, target.prefill_left(now) + prefill)
        ]
        if spared:
            own = self.cost(work)
            return min(spared, key=lambda t: self._price(t, work, own, now))
        # Where even the fastest target would hold up its streams, none is waited for.
        pause = self.fastest * self._between_events(prefill)
        return None if pause <= PAUSE_MARGIN * self._max_pause else best

    def _serves_in_time(self, targets, work: m.Work, now: float) -> bool:
        """Whether one of some targets serves a request well.

        Its first token would be on time, its end too, and the pauses of the streams
        that run there. Most of a decision's time goes here, so nothing is called in the
        loop that can be reckoned before it.
        """
        prefill = self._model.prefill(work.prompt_tokens)
        reading = prefill + self._model.first
        due = work.due or math.inf
        ends, decoding = math.inf, 0.0
        if work.ends and self._switches.answer_end:
            ends = work.ends
            decoding = self._lengths.cautious(work.output_tokens) * STEP_S
        steps, most = self._tokens_per_event * STEP_S, self._reading.most
        longest = PAUSE_MARGIN * self._max_pause
        for target in targets:
            slowness, left = target.slowness, target.prefill_left(now)
            first = now + slowness * (left + reading)
            if first > due or first + slowness * decoding > ends:
                continue
            pause = slowness * (steps + min(most, left + prefill))
            if pause <= longest or not target.running:
                return True
        return False

    def _harms(self, target: SlotTarget, to_read: float) -> bool:
        """Whether prompts make the pauses of the streams at a target too long."""
        pause = target.slowness * self._between_events(to_read)
        return pause > PAUSE_MARGIN * self._max_pause

    def _between_events(self, to_read: float) -> float:
        """Return the guessed seconds between events at slowness 1 beside prompts."""
        steps = self._tokens_per_event * STEP_S
        return steps + self._reading.between_events(to_read)

    def _price(self, target: SlotTarget, work: m.Work, own: float, now: float) -> float:
        """Return the weighed seconds of a request, and of what it does to others."""
        to_read = target.prefill_left(now) + self._model.prefill(work.prompt_tokens)
        price = target.cost(own)
        if target.data_centre != work.data_centre:
            price += ELSEWHERE_COST_S
        if work.due:
            late = now + target.slowness * (to_read + self._model.first) - work.due
            if late > 0:
                price += LATE_WEIGHT * late
        if target.running and self._harms(target, to_read):
            price += PAUSE_COST_S * len(target.running)
        return price
