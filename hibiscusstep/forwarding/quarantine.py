"""hibiscusstep.forwarding.quarantine: quarantine of requests that crash targets."""

import asyncio
import math
import time
from collections.abc import Collection, Iterable

from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.crash_detector import CrashDetector, InterruptedAttempt
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.saved_suspects import (
    PARTS,
    from_document,
    to_document,
)
from hibiscusstep.forwarding.suspect_parts import (
    MIN_TRIAL_INTERVAL_S,
    PartTable,
    PartVerdict,
)
from hibiscusstep.forwarding.suspects import Suspect, SuspectTable
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.neighbours import Neighbours
from hibiscusstep.membership.view import View
from hibiscusstep.peer import Received, SuspectState, SuspectStates
from hibiscusstep.store import StoreRestored, SuspectStore

__all__ = ["Quarantine"]

TICK_S = 1.0
# Interval at which recent states are sent again, in case a connection lost them.
RESEND_INTERVAL_TICKS = 5
# Delay of the next tick, which writes to the store, after a state has changed.
WRITE_DELAY_S = 0.1
_DUTY = "quarantine"


class Quarantine(Worker):
    """Quarantine of requests that crash targets, shared by all instances.

    No instance sends a request to another target once several targets have crashed in
    sequence while running it, or while beginning to answer requests with one of its
    parts, because each crash interrupts every other request on that target. Crash
    states are sent to all instances immediately, to instances that start, and through
    relays. What is quarantined, or would be after one more crash, is also written to
    the store, so that it survives a restart of all instances. While no instance is
    ready, as after such a restart, each one reads it.

    Parameters
    ----------
    address : str
        Own peer address.
    links : Worker
        Sends messages to peers.
    connections : ConnectionPool
        Connections to targets.
    store : SuspectStore
        Stores the quarantined requests.
    """

    def __init__(
        self,
        address: str,
        links: Worker,
        connections: ConnectionPool,
        store: SuspectStore,
    ) -> None:
        super().__init__("quarantine", tick_interval=TICK_S)
        self._address = address
        self._store = store
        self._detector = CrashDetector(connections, self._record_crash)
        self._table = SuspectTable()
        self._parts = PartTable()
        self._logged_parts: frozenset[int] = frozenset()
        self._tried_at: dict[int, float] = {}
        self._view = View(role_known=False)
        self._neighbours = Neighbours(address, links)
        self._ticks = 0
        self._is_read = False
        # Fingerprints with their numbers of crashes, as last read or written.
        self._stored: frozenset[tuple[int, int]] = frozenset()
        self._store_task: asyncio.Task | None = None

    @property
    def is_empty(self) -> bool:
        """Whether nothing is suspected or was cleared recently."""
        return not len(self._table) and not len(self._parts)

    @property
    def suspected_count(self) -> int:
        """Number of requests with at least one crash counted against them."""
        return len(self._table.suspected)

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined requests."""
        return len(self._table.quarantined)

    @property
    def quarantined_part_count(self) -> int:
        """Number of quarantined parts of prompts."""
        return len(self._parts.quarantined)

    def is_suspected(self, fingerprint: int) -> bool:
        """Return whether any crash counts against a request."""
        return self._table.is_suspected(fingerprint)

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request must not be sent to any target."""
        return self._table.is_quarantined(fingerprint)

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether an instance may retry a request on another target."""
        return self._table.may_retry(fingerprint)

    def may_retry_parts(self, parts: Iterable[int]) -> bool:
        """Return whether an instance may retry a request with these parts."""
        return all(map(self._parts.may_retry, parts))

    def judge_parts(self, parts: Collection[int]) -> PartVerdict:
        """Return whether a request with these parts may be sent to a target."""
        return self._parts.judge(parts)

    def take_trial(self, part: int) -> bool:
        """Return whether to try a quarantined part now, with one request.

        One instance tries it, and seldom: each trial may cost a target.
        """
        now = _now()
        tried_at = self._tried_at.get(part, -math.inf)
        is_due = now >= self._parts.next_trial_at(part)
        if not is_due or now < tried_at + MIN_TRIAL_INTERVAL_S or not self._has_duty:
            return False
        self._tried_at[part] = now
        return True

    def expires_in(self, fingerprint: int) -> float:
        """Return the seconds until a request may be served again."""
        return self._table.expires_in(fingerprint, _now())

    def trial_in(self, part: int) -> float:
        """Return the seconds until a quarantined part may be tried again."""
        return max(0.0, self._parts.next_trial_at(part) - _now())

    def list_suspects(self) -> list[dict]:
        """Return all requests with crashes counted against them, for operators."""
        return [
            self._to_entry(suspect, self._table.is_quarantined(suspect.fingerprint))
            for suspect in self._table.suspected
        ]

    def list_parts(self) -> list[dict]:
        """Return all parts with crashes counted against them, for operators."""
        return [
            {
                **self._to_entry(
                    suspect, self._parts.is_quarantined(suspect.fingerprint)
                ),
                "trial_in": round(self.trial_in(suspect.fingerprint), 1),
            }
            for suspect in self._parts.suspected
        ]

    def _to_entry(self, suspect: Suspect, is_quarantined: bool) -> dict:
        now = _now()
        return {
            "fingerprint": f"{suspect.fingerprint:016x}",
            "quarantined": is_quarantined,
            "seconds_since": {
                target: round(now - crash.crashed_at, 1)
                for target, crash in suspect.crashes.items()
            },
            "expires_in": round(suspect.expires_in(now), 1),
        }

    def record_interruption(
        self, target: DiscoveredTarget, attempt: InterruptedAttempt
    ) -> None:
        """Record that a connection to a target ended before a complete response."""
        self._detector.record_interruption(target, attempt)

    def clear_request(self, fingerprint: int, why: str = "answered") -> bool:
        """Clear a request and return whether any crash counted against it."""
        state = self._table.clear_request(fingerprint, _now())
        if state is None:
            return False
        decision("request-cleared", fingerprint=f"{fingerprint:016x}", why=why)
        self._send(SuspectStates([state]), self._neighbours.addresses)
        return True

    def clear_parts(
        self, parts: Iterable[int], began: float = math.inf, why: str = "answered"
    ) -> bool:
        """Clear parts of which a target writes an answer that began at a time.

        Parameters
        ----------
        parts : iterable of int
            Fingerprints of the parts.
        began : float
            When the request was sent, on the event loop's clock.
        why : str
            For the log.

        Returns
        -------
        bool
            Whether any crash counted against any of them.
        """
        now = _now()
        cleared = [self._parts.clear_request(part, now, began) for part in parts]
        states = [state for state in cleared if state is not None]
        if not states:
            return False
        names = [f"{state.fingerprint:016x}" for state in states]
        decision("parts-cleared", parts=names, why=why)
        self._send(SuspectStates([], states), self._neighbours.addresses)
        return True

    def _record_crash(self, target: str, attempts: list[InterruptedAttempt]) -> None:
        now = _now()
        states = [self._record_request_crash(target, a, now) for a in attempts]
        parts = [
            self._parts.record_part_crash(
                part, target, attempt.started_at, attempt.ended_at, now
            )
            for attempt in attempts
            for part in attempt.parts
        ]
        changed = SuspectStates(list(filter(None, states)), list(filter(None, parts)))
        if changed.parts:
            decision(
                "parts-suspected",
                target=target,
                parts={f"{s.fingerprint:016x}": len(s.targets) for s in changed.parts},
            )
        self._spread(changed, self._neighbours.addresses)

    def _record_request_crash(
        self, target: str, attempt: InterruptedAttempt, now: float
    ) -> SuspectState | None:
        was_quarantined = self.is_quarantined(attempt.fingerprint)
        state = self._table.record_crash(
            attempt.fingerprint, target, attempt.weight, attempt.started_at, now
        )
        if state is None:
            return None
        is_quarantined_now = self.is_quarantined(attempt.fingerprint)
        decision(
            "request-quarantined"
            if is_quarantined_now and not was_quarantined
            else "request-suspected",
            request=attempt.attempt_id,
            fingerprint=f"{attempt.fingerprint:016x}",
            target=target,
            weight=attempt.weight,
            crashes=dict(zip(state.targets, state.weights, strict=True)),
        )
        return state

    async def handle(self, message) -> None:
        """Handle a peer's crash states, a view change, a store restore or a tick."""
        match message:
            case Received(sender=sender, message=SuspectStates() as received):
                self._merge_states(received, sender)
            case ViewChanged(view=view):
                self._apply_view(view)
            case StoreRestored():
                self._stored = frozenset()
            case Tick():
                self._on_tick()

    def _merge_states(self, received: SuspectStates, sender: str) -> None:
        """Merge peer states; send new ones to peers that the sender cannot reach."""
        now = _now()
        fingerprints = dict.fromkeys(state.fingerprint for state in received.states)
        previous = {
            fingerprint
            for fingerprint in fingerprints
            if self.is_quarantined(fingerprint)
        }
        changed = SuspectStates(
            [state for state in received.states if self._table.merge(state, now)],
            [state for state in received.parts if self._parts.merge(state, now)],
        )
        for fingerprint in fingerprints:
            if fingerprint not in previous and self.is_quarantined(fingerprint):
                decision(
                    "request-quarantined",
                    fingerprint=f"{fingerprint:016x}",
                    crashes=self._table.weights(fingerprint),
                    told_by=sender,
                )
        self._spread(changed, self._neighbours.forward_addresses(sender))

    def _apply_view(self, view: View) -> None:
        """Apply a view and send all states to new neighbours."""
        self._view = view
        now, new = _now(), self._neighbours.apply_view(view)
        states = SuspectStates(self._table.all_states(now), self._parts.all_states(now))
        self._send(states, new)
        if self._must_read:
            self._start_sync()

    def _send(self, states: SuspectStates, addresses: Iterable[str]) -> None:
        if states.states or states.parts:
            self._neighbours.send(states, addresses)

    def _spread(self, changed: SuspectStates, addresses: Iterable[str]) -> None:
        """Send changed states and have them stored soon."""
        self._send(changed, addresses)
        if (changed.states or changed.parts) and self._has_duty:
            self._schedule_tick(WRITE_DELAY_S)

    @property
    def _has_duty(self) -> bool:
        """Whether this instance writes to the store and tries quarantined parts."""
        return self._view.role_known and self._view.has_duty(_DUTY, self._address)

    @property
    def _must_read(self) -> bool:
        """Whether this instance has to read the store since no other one may have."""
        view = self._view
        is_alone = view.role_known and not view.parent and not view.eligible
        return is_alone and not self._is_read

    def _on_tick(self) -> None:
        now = _now()
        self._ticks += 1
        self._table.forget_old(now)
        self._parts.forget_old(now)
        self._detector.forget_old(now)
        self._log_parts()
        if self._ticks % RESEND_INTERVAL_TICKS == 0:
            states = SuspectStates(
                self._table.recent_states(now), self._parts.recent_states(now)
            )
            self._send(states, self._neighbours.addresses)
        if self._has_duty or self._must_read:
            self._start_sync()

    def _start_sync(self) -> None:
        """Synchronise with the store, unless that is still going on."""
        if self._store_task is None or self._store_task.done():
            # A task, so that a store that does not answer blocks no peer messages.
            self._store_task = asyncio.create_task(self._sync_with_store())

    def _log_parts(self) -> None:
        """Log the parts that were quarantined since the last tick."""
        quarantined = self._parts.quarantined
        for suspect in quarantined:
            if suspect.fingerprint not in self._logged_parts:
                decision(
                    "part-quarantined",
                    part=f"{suspect.fingerprint:016x}",
                    crashes=self._parts.weights(suspect.fingerprint),
                )
        self._logged_parts = frozenset(s.fingerprint for s in quarantined)

    async def _sync_with_store(self) -> None:
        """Read what is stored once; write what must outlive a restart on changes."""
        if not self._is_read:
            await self._read_stored()
        if not self._has_duty:
            return
        now = _now()
        requests, parts = self._table.to_store, self._parts.to_store
        current = frozenset((s.fingerprint, len(s.crashes)) for s in requests + parts)
        if not self._is_read or current == self._stored:
            return
        document = to_document(
            [self._table.state(suspect, now) for suspect in requests],
            time.time(),
            [self._parts.state(suspect, now) for suspect in parts],
        )
        written = await self._store.write(document)
        if written.is_err():
            decision("quarantine-not-kept", error=str(written.unwrap_err()))
            return
        self._stored = current

    async def _read_stored(self) -> None:
        reply = await self._store.read()
        if reply.is_err():
            decision("quarantine-not-read", error=str(reply.unwrap_err()))
            return
        self._is_read = True
        document, time_of_day = reply.unwrap(), time.time()
        stored = SuspectStates(
            from_document(document, time_of_day),
            from_document(document, time_of_day, PARTS),
        )
        states = (*stored.states, *stored.parts)
        self._stored = frozenset((s.fingerprint, len(s.targets)) for s in states)
        if states:
            decision(
                "quarantine-read",
                requests=len(stored.states),
                parts=len(stored.parts),
            )
            self._merge_states(stored, "")
            self._send(stored, self._neighbours.addresses)

    async def stop(self) -> None:
        """Cancel running crash checks and store calls."""
        self._detector.close()
        if self._store_task:
            self._store_task.cancel()


def _now() -> float:
    return asyncio.get_running_loop().time()
