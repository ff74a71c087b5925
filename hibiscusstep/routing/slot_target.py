"""hibiscusstep.routing.slot_target: state and learned speed of a target with slots."""

import math
from dataclasses import dataclass, field

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.host_pace import HostPace
from hibiscusstep.routing.rate_limiter import RateLimiter
from hibiscusstep.routing.target_room import TargetRoom

__all__ = ["Run", "SlotTarget"]

# Minimum weight of a new observation; the first ones weigh more.
LEARNING_RATE = 0.1
# The same for a target that tells the pace of its host: what remains changes seldom,
# and the delay by the host is known only roughly for each run.
PACED_LEARNING_RATE = 0.05
MIN_SLOWNESS, MAX_SLOWNESS = 0.1, 12.0
# Bounds of the ratio observed at a first token, which includes the time to connect.
MIN_FIRST_TOKEN_RATIO, MAX_FIRST_TOKEN_RATIO = 0.5, 4.0
FIRST_TOKEN_LEARNING_RATE = 0.5
# Weight of the requests that run at a target relative to the new request; 0.6 gave the
# same results.
RUNNING_WEIGHT = 0.3
# Backoff of a target that is unreachable or mostly fails; it doubles with each backoff
# in a row. A target that rejected a request since it is full is tried again sooner.
INITIAL_BACKOFF_S = 0.5
REJECTED_BACKOFF_S = 0.1
MAX_BACKOFF_S = 4.0
# A target with a share of failures above this would attract all requests, since a
# failure frees its slot sooner than an answer. Four failures in a row reach it, or a
# few more with some answers between.
MAX_FAILURE_SHARE = 0.6
# Weight of a new outcome in the share of failures, and the additional cost factor of a
# target that always fails.
FAILURE_LEARNING_RATE = 0.25
FAILURE_COST_FACTOR = 3.0
# A target counts as loaded if at least this share of its slots is taken.
LOADED_SHARE = 0.7
# Share of the memory up to which targets count as equally free.
CROWDED_SHARE = 0.25
# Validity of the load that a target reported.
EXTERNAL_LOAD_TTL_S = 1.0


@dataclass(slots=True, eq=False)
class Run:
    """A granted request.

    Parameters
    ----------
    work : Work
        The request.
    granted : float
        When it was granted, on the dispatcher's clock.
    service_seconds, prefill_seconds : float
        Estimated seconds of the request, and of its prefill, at slowness 1.
    has_first_token : bool
        Whether its first token has arrived.
    prefilled_alone : bool
        Whether no other prefill ran at the target before its first token.
    expected_first_token : float
        Estimated seconds to its first token at slowness 1.
    max_concurrent_prefill : float
        Maximum estimated seconds of prefill pending at the target while it ran.
    adopted : bool
        Whether another dispatcher granted it, some time before `granted`.
    target_loaded : bool
        Whether most of the target's slots were taken when it was granted.
    level : int
        Number of requests at the target when it was granted, with it.
    """

    work: m.Work
    granted: float
    service_seconds: float
    prefill_seconds: float
    has_first_token: bool = False
    prefilled_alone: bool = True
    expected_first_token: float = 1.0
    max_concurrent_prefill: float = 0.0
    adopted: bool = False
    target_loaded: bool = False
    level: int = 0


@dataclass(slots=True, eq=False)
class SlotTarget:
    """State of a target as the dispatcher knows it.

    Parameters
    ----------
    name : str
        The target.
    slots : int
        Number of requests that it serves at the same time; fewer than its entry says
        if it has a rejection limit and shows less room.
    leaving : bool
        Whether it accepts no new requests.
    slowness : float
        Expected ratio of service times to the initial estimates: `own_slowness` times
        `host_factor`. An attribute, since decisions read it often.
    observations : int
        Number of observations of the slowness.
    failure_share : float
        Learned share of recent requests that failed.
    backoffs : int
        Number of backoffs since the last complete answer.
    backoff_until : float
        End of the backoff, on the dispatcher's clock.
    external_requests : int
        Requests at the target that this dispatcher did not grant, by the last load
        report.
    external_reported_at : float
        When the last load report arrived, on the dispatcher's clock.
    data_centre : str
        Where it runs.
    version : str
        Version of its software.
    limiter : RateLimiter or None
        Limits the requests per second; None if the target accepts any number.
    next_start_at : float
        Time from which on its limits permit the next request, on the dispatcher's
        clock; 0 without a limit. An attribute, since decisions read it often.
    host_pace : HostPace or None
        Pace of its host; None if the target has not told it.
    host_factor : float
        Expected pace of its host that is part of the slowness; 1 if not told.
    memory_tokens, memory_used : int
        Tokens that its memory holds (0 for no bound), and those of its requests.
    room : TargetRoom or None
        The room that it shows; None without a rejection limit.
    """

    name: str
    slots: int
    leaving: bool = False
    slowness: float = 1.0
    observations: int = 0
    failure_share: float = 0.0
    backoffs: int = 0
    backoff_until: float = 0.0
    external_requests: int = 0
    external_reported_at: float = -10.0
    data_centre: str = ""
    version: str = ""
    limiter: RateLimiter | None = None
    next_start_at: float = 0.0
    host_pace: HostPace | None = None
    host_factor: float = 1.0
    memory_tokens: int = 0
    memory_used: int = 0
    room: TargetRoom | None = None
    running: dict[str, Run] = field(default_factory=dict)
    _running_seconds: float = 0.0
    _remaining_prefill: float = 0.0
    _remaining_prefill_at: float = -1.0
    _declared_slots: int = 0
    # The last two instances that it answered, and when.
    _last_answer: tuple[str, float] = ("", -math.inf)
    _last_other_answer: tuple[str, float] = ("", -math.inf)
    # Not maintained without a pace of the host: it equals the slowness then.
    _own_slowness: float = 1.0

    @property
    def own_slowness(self) -> float:
        """Learned slowness without the pace of its host."""
        return self.slowness if self.host_pace is None else self._own_slowness

    @own_slowness.setter
    def own_slowness(self, value: float) -> None:
        self._own_slowness = value
        self.slowness = value * self.host_factor

    def attach_host_pace(self, host_pace: HostPace) -> None:
        """Start to use the pace of its host, which the target tells from now on."""
        self._own_slowness = self.slowness
        self.host_pace = host_pace

    def apply_host_pace(self) -> None:
        """Update the slowness after the expected pace of its host changed."""
        self.host_factor = self.host_pace.factor
        self.slowness = self._own_slowness * self.host_factor
        # It was computed with the former slowness.
        self._remaining_prefill_at = -1.0

    def mean_host_factor(self, start: float, end: float) -> float:
        """Return the factor by which its host delayed work between two times."""
        return 1.0 if self.host_pace is None else self.host_pace.mean_factor(start, end)

    def add(self, ask: str, run: Run) -> None:
        """Add a granted request."""
        prefilling = [
            other for other in self.running.values() if not other.has_first_token
        ]
        for other in prefilling:
            other.prefilled_alone = False
        pending_prefill = self.remaining_prefill(run.granted) + run.prefill_seconds
        for other in self.running.values():
            other.max_concurrent_prefill = max(
                other.max_concurrent_prefill, pending_prefill
            )
        run.prefilled_alone = not prefilling
        if replaced := self.running.get(ask):
            self.memory_used -= replaced.work.memory_tokens
        self.memory_used += run.work.memory_tokens
        self.running[ask] = run
        run.level = len(self.running)
        run.target_loaded = run.level >= LOADED_SHARE * self.slots
        self._invalidate()

    def remove(self, ask: str) -> Run | None:
        """Remove and return a request; None if it does not run here."""
        run = self.running.pop(ask, None)
        if run:
            self.memory_used -= run.work.memory_tokens
        self._invalidate()
        return run

    def mark_first_token(self, ask: str) -> Run | None:
        """Mark a request's prefill as done; None if it does not run here."""
        run = self.running.get(ask)
        if run:
            run.has_first_token = True
            self._invalidate()
        return run

    def _invalidate(self) -> None:
        self._running_seconds = sum(
            run.service_seconds for run in self.running.values()
        )
        self._remaining_prefill_at = -1.0

    def usable(self, now: float) -> bool:
        """Return whether the target may be granted new requests."""
        return not self.leaving and now >= self.backoff_until

    @property
    def crowded_memory(self) -> int:
        """Tokens in use, 0 while they are a small part of the memory.

        An order of the targets by this value seldom changes while none is near its
        bound.
        """
        used = self.memory_used
        return used if used > CROWDED_SHARE * self.memory_tokens else 0

    @property
    def service_rate(self) -> float:
        """Seconds of service at slowness 1 per second, with all slots in use."""
        return self.slots / self.slowness

    @property
    def rate_limit(self) -> float | None:
        """Requests per second that it accepts from all dispatchers; None if any."""
        return self.limiter.limit if self.limiter else None

    def set_rejection_limit(
        self, declared: int, per_s: float | None, share: float, now: float
    ) -> None:
        """Set the slots and what the target bears of rejections.

        Parameters
        ----------
        declared : int
            Slots in the target's entry.
        per_s : float or None
            Rejections per second from all dispatchers; None without a limit.
        share : float
            Part of them that this dispatcher may cause.
        now : float
            Seconds on the dispatcher's clock.
        """
        self._declared_slots = declared
        if per_s is None:
            self.room, self.slots = None, declared
            self._update_next_start()
            return
        if self.room is None:
            self.room = TargetRoom(per_s, share, len(self.running), now)
        self.room.rejections_per_s, self.room.share = per_s, share
        self.update_slots(now)

    def update_slots(self, now: float) -> bool:
        """Update the slots by the room that it shows; return whether they changed."""
        before = self.slots
        running = len(self.running)
        self.slots = self.room.slots(self._declared_slots, running, now)
        return self.slots != before

    def set_rate_limit(
        self, limit: float | None, share: float, now: float, tokens: float = 0.0
    ) -> None:
        """Set or end the limit on requests per second.

        Parameters
        ----------
        limit : float or None
            Requests per second from all dispatchers; None for no limit.
        share : float
            Share of the limit that this dispatcher may grant.
        now : float
            Seconds on the dispatcher's clock.
        tokens : float
            Requests that may be granted at once if there was no limit before.
        """
        if limit is None:
            self.limiter = None
        elif self.limiter is None:
            self.limiter = RateLimiter(limit, share, now, tokens)
        else:
            self.limiter.update(limit, share, now)
        self._update_next_start()

    def restart_rate_limit(self, now: float, tokens: float) -> None:
        """Forget what the limit permits; other dispatchers granted requests."""
        if self.limiter:
            self.limiter.restart(now, tokens)
            self._update_next_start()

    def count_grant(self, now: float) -> None:
        """Count a granted request against the limits."""
        if self.limiter:
            self.limiter.take(now)
        if self.room:
            self.room.record_grant(now)
        self._update_next_start()

    def uncount_grant(self, run: Run) -> None:
        """Take back the count of a request that was granted here and was not sent."""
        if self.limiter and not run.adopted:
            self.limiter.give_back()
            self._update_next_start()

    def _update_next_start(self) -> None:
        next_at = self.limiter.next_at if self.limiter else 0.0
        self.next_start_at = max(next_at, self.room.next_start_at if self.room else 0.0)

    @property
    def unassigned_slots(self) -> int:
        """Number of slots that are not taken by granted requests."""
        # A target that mostly failed is tried with one request at a time.
        return (1 if self._is_failing else self.slots) - len(self.running)

    def available_slots(self, now: float) -> int:
        """Return the number of further requests that the target can serve.

        Its rate limit permits at least one of them now, or the number is 0.
        """
        if now < self.next_start_at:
            return 0
        external = (
            self.external_requests
            if now - self.external_reported_at < EXTERNAL_LOAD_TTL_S
            else 0
        )
        return self.unassigned_slots - external

    def remaining_prefill(self, now: float) -> float:
        """Return the estimated seconds of pending prefill at slowness 1.

        The value is cached for the current time, since a dispatcher evaluates many
        requests for a target at once.
        """
        if now != self._remaining_prefill_at:
            self._remaining_prefill_at = now
            self._remaining_prefill = sum(
                max(0.0, run.prefill_seconds - (now - run.granted) / self.slowness)
                for run in self.running.values()
                if not run.has_first_token
            )
        return self._remaining_prefill

    def cost(self, own: float) -> float:
        """Return the weighted seconds of a request of `own` estimated seconds."""
        spent = self.slowness * (own + RUNNING_WEIGHT * self._running_seconds)
        return spent * (1 + FAILURE_COST_FACTOR * self.failure_share)

    def record_answer(self, instance: str, now: float) -> None:
        """Record that an instance received anything from the target."""
        if instance != self._last_answer[0]:
            self._last_other_answer = self._last_answer
        self._last_answer = (instance, now)

    def has_answered_others(self, instance: str, since: float) -> bool:
        """Return whether the target answered another instance after a time."""
        answers = (self._last_answer, self._last_other_answer)
        return any(at > since for name, at in answers if name != instance)

    def record_success(self) -> None:
        """Record a complete answer."""
        self.backoffs = 0
        self.failure_share *= 1 - FAILURE_LEARNING_RATE

    def observe_first_token(self, ratio: float, host_factor: float = 1.0) -> None:
        """Update its own slowness by a first token, until an answer is complete.

        Parameters
        ----------
        ratio : float
            Ratio of observed to estimated seconds.
        host_factor : float
            Factor by which its host delayed the request.
        """
        ratio = min(
            MAX_FIRST_TOKEN_RATIO,
            max(MIN_FIRST_TOKEN_RATIO / host_factor, ratio / host_factor),
        )
        own = self.own_slowness
        self.own_slowness = own + FIRST_TOKEN_LEARNING_RATE * (ratio - own)

    def observe(self, ratio: float, host_factor: float = 1.0) -> None:
        """Update its own slowness by a ratio of observed to estimated seconds.

        Parameters
        ----------
        ratio : float
            Ratio of observed to estimated seconds.
        host_factor : float
            Factor by which its host delayed the request.
        """
        # The lower bound applies to the observed time: if a host tells a pace that does
        # not delay its work, the product is still right.
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS / host_factor, ratio / host_factor))
        self.observations += 1
        rate = LEARNING_RATE if self.host_pace is None else PACED_LEARNING_RATE
        weight = max(rate, 1 / (1 + self.observations))
        own = self.own_slowness
        self.own_slowness = own + weight * (ratio - own)

    def record_failure(self, now: float) -> None:
        """Record a failure; a target that mostly fails backs off."""
        self.failure_share += FAILURE_LEARNING_RATE * (1 - self.failure_share)
        if self._is_failing:
            self._back_off(now, INITIAL_BACKOFF_S)

    def record_unreachable(self, now: float) -> None:
        """Record that the target was unreachable and back off."""
        self.failure_share += FAILURE_LEARNING_RATE * (1 - self.failure_share)
        self._back_off(now, INITIAL_BACKOFF_S)

    def record_rejection(self, now: float) -> None:
        """Record that the target rejected a request and back off for a short time."""
        self._back_off(now, REJECTED_BACKOFF_S)

    @property
    def _is_failing(self) -> bool:
        return self.failure_share >= MAX_FAILURE_SHARE

    def _back_off(self, now: float, initial: float) -> None:
        if self.usable(now):
            backoff = initial * 2 ** min(8, self.backoffs)
            self.backoffs += 1
            self.backoff_until = now + min(MAX_BACKOFF_S, backoff)

    def summary(self, now: float) -> str:
        """Return the state as a short text for the log."""
        parts = [
            f"{len(self.running)}/{self.slots}",
            f"x{self.slowness:.2f}",
            f"f{self.failure_share:.2f}",
        ]
        if round(self.host_factor, 2) != 1:
            parts.append(f"own x{self.own_slowness:.2f} host x{self.host_factor:.2f}")
        if self.leaving:
            parts.append("leaving")
        if now < self.backoff_until:
            parts.append("resting")
        if self.room:
            parts.append(f"rejection limit {self.room.rejections_per_s:g}/s")
        if self.limiter:
            parts.append(f"limit {self.limiter.limit:g}/s")
        return " ".join(parts)
