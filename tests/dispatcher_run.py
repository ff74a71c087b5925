"""A run of a slot dispatcher alone: targets and callers are emulated in virtual time.

Sixteen customers ask for 0.9 of the capacity; three of them for five times their usual
load from 5 to 20 s. Refused callers return once.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher

POOL = "p"
TARGETS, SLOTS, CUSTOMERS, LARGE_CUSTOMERS = 20, 6, 16, 3
LOAD, LARGE_FACTOR, LARGE_START_S, LARGE_END_S = 0.9, 5.0, 5.0, 20.0
RUN_S, TICK_S = 30.0, 0.05
OBJECTIVE_S, ANSWER_S = 0.8, 12.0


@dataclass(slots=True)
class Call:
    """A caller's request: its attempts as (received, decided, granted) and result."""

    number: int
    customer: int
    began: float
    identity: int
    seconds: float
    attempts: list[tuple[float, float, bool]] = field(default_factory=list)
    received: float = 0.0
    place_s: float = 0.0
    retries_at_once: bool = False

    @property
    def served(self) -> bool:
        return bool(self.attempts) and self.attempts[-1][2]


class DispatcherRun:
    """One run; a share of the callers retries at once, three times."""

    def __init__(
        self,
        seed,
        switches,
        *,
        at_once_share=0.0,
        targets=TARGETS,
        slots=SLOTS,
        load=LOAD,
        large_factor=LARGE_FACTOR,
        objective=OBJECTIVE_S,
        pool_options=None,
    ):
        self._rng = random.Random(seed)
        self._at_once_share = at_once_share
        self._usual_rate = load * targets * slots / CUSTOMERS
        self._large_factor = large_factor
        self._objective = objective
        planned = {f"t{n}": PlannedTarget(slots) for n in range(targets)}
        options = {"planned_returns": True} | (pool_options or {})
        pool = PlannedPool(True, targets=planned, **options)
        self.dispatcher = SlotDispatcher(
            POOL, DispatchPlan({POOL: pool}), switches=switches
        )
        self._events = []
        self._sequence = itertools.count()
        self._open = {}
        self._running = set()
        self.calls = []
        self.refusals = []

    def run(self):
        self._execute(self.dispatcher.handle(m.Recovered(), 0.0), 0.0)
        for customer in range(CUSTOMERS):
            self._next_arrival(customer, 0.0)
        self._at(TICK_S, self._tick)
        while self._events:
            now, _number, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self

    def _at(self, moment, action, *arguments):
        heapq.heappush(self._events, (moment, next(self._sequence), action, arguments))

    def _tick(self, now):
        self._execute(self.dispatcher.handle(m.TimePassed(), now), now)
        if now < RUN_S or self._open:
            self._at(now + TICK_S, self._tick)

    def _next_arrival(self, customer, now):
        """Draw at the highest rate and thin out, as the rate changes during the run."""
        factor = self._large_factor
        while (now := now + self._rng.expovariate(factor * self._usual_rate)) < RUN_S:
            is_large = customer < LARGE_CUSTOMERS
            is_large &= LARGE_START_S <= now < LARGE_END_S
            if is_large or self._rng.random() < 1 / factor:
                self._at(now, self._arrive, customer)
                return

    def _arrive(self, now, customer):
        self._next_arrival(customer, now)
        # Drawn at the arrival, so that the load does not depend on the decisions.
        identity, seconds = self._rng.getrandbits(62) + 1, self._rng.uniform(0.6, 1.4)
        call = Call(len(self.calls), customer, now, identity, seconds)
        call.retries_at_once = identity % 100 < 100 * self._at_once_share
        self.calls.append(call)
        self._submit(now, call)

    def _submit(self, now, call):
        call.received = now
        patience = 1.0 if call.attempts else self._objective
        ask = f"{call.number}.{len(call.attempts)}"
        self._open[ask] = call
        work = m.Work(
            ask, ask, "i", f"c{call.customer}", "0", 0, 500, 100, now + patience, now,
            first_token_due=call.began + self._objective,
            answer_due=call.began + ANSWER_S,
            identity=call.identity,
        )  # fmt: skip
        self._execute(self.dispatcher.handle(m.RequestGrant(work), now), now)

    def _execute(self, decisions, now):
        for decision in decisions:
            if isinstance(decision, m.QueryGrants):
                # Otherwise the slots of long requests would be granted twice.
                held = m.HeldGrants("i", frozenset(self._running))
                self._at(now, self._tell, held)
            elif isinstance(decision, m.Grant):
                ask = decision.work.ask
                self._running.add(ask)
                call = self._open[ask]
                call.attempts.append((call.received, now, True))
                seconds = call.seconds
                self._at(now + 0.1, self._tell, m.FirstToken(ask, 0.1))
                done = m.Finished(ask, m.GrantOutcome.DONE, 100, seconds - 0.1)
                self._at(now + seconds, self._finish, done)
            elif isinstance(decision, m.Refuse):
                self._refuse(now, decision)

    def _tell(self, now, message):
        self._execute(self.dispatcher.handle(message, now), now)

    def _finish(self, now, message):
        del self._open[message.ask]
        self._running.remove(message.ask)
        self._tell(now, message)

    def _refuse(self, now, refusal):
        call = self._open.pop(refusal.work.ask)
        call.attempts.append((call.received, now, False))
        self.refusals.append((len(call.attempts), refusal))
        at_once = call.retries_at_once
        if len(call.attempts) > (3 if at_once else 1):
            return
        if not at_once:
            call.place_s = refusal.place_s
        left = call.began + ANSWER_S - now
        wait = 0.05 if at_once else min(refusal.retry_after, left / 3)
        self._at(now + wait, self._submit, call)

    def share_served(self, calls=None):
        """Return the share of calls that were served."""
        chosen = self.calls if calls is None else calls
        return sum(call.served for call in chosen) / max(1, len(chosen))

    def share_in_time(self, first=0):
        """Return the share of first attempts whose first token is in time."""
        chosen = [call for call in self.calls if call.customer >= first]
        in_time = (
            call.served and call.attempts[-1][1] + 0.1 - call.began <= self._objective
            for call in chosen
        )
        return sum(in_time) / len(chosen)
