"""hibiscusstep.forwarding.quarantine: quarantine of requests that crash targets."""

import asyncio
import time
from collections.abc import Iterable

from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.crash_detector import CrashDetector, InterruptedAttempt
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.saved_suspects import from_document, to_document
from hibiscusstep.forwarding.suspects import (
    EARLY_WEIGHT,
    LATE_WEIGHT,
    SuspectTable,
)
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
_DUTY = "quarantine"


class Quarantine(Worker):
    """Quarantine of requests that crash targets, shared by all instances.

    No instance sends a request to another target once several targets have crashed in
    sequence while running it, because each crash interrupts every other request on that
    target. Crash states are sent to all instances immediately, to instances that start,
    and through relays. Quarantined requests are also written to the store, so that they
    survive a restart of all instances.

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
        self._view = View(role_known=False)
        self._neighbours = Neighbours(address, links)
        self._ticks = 0
        self._is_read = False
        self._stored_fingerprints: frozenset[int] = frozenset()
        self._store_task: asyncio.Task | None = None

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or was cleared recently."""
        return not len(self._table)

    @property
    def suspected_count(self) -> int:
        """Number of requests with at least one crash counted against them."""
        return len(self._table.suspected)

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined requests."""
        return len(self._table.quarantined)

    def is_suspected(self, fingerprint: int) -> bool:
        """Return whether any crash counts against a request."""
        return self._table.is_suspected(fingerprint)

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request must not be sent to any target."""
        return self._table.is_quarantined(fingerprint)

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether an instance may retry a request on another target."""
        return self._table.may_retry(fingerprint)

    def expires_in(self, fingerprint: int) -> float:
        """Return the seconds until a request may be served again."""
        return self._table.expires_in(fingerprint, _now())

    def list_suspects(self) -> list[dict]:
        """Return all requests with crashes counted against them, for operators."""
        now = _now()
        return [
            {
                "fingerprint": f"{suspect.fingerprint:016x}",
                "quarantined": self._table.is_quarantined(suspect.fingerprint),
                "seconds_since": {
                    target: round(now - crash.crashed_at, 1)
                    for target, crash in suspect.crashes.items()
                },
                "expires_in": round(
                    self._table.expires_in(suspect.fingerprint, now), 1
                ),
            }
            for suspect in self._table.suspected
        ]

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
        self._send([state], self._neighbours.addresses)
        return True

    def _record_crash(self, target: str, attempts: list[InterruptedAttempt]) -> None:
        now = _now()
        states = []
        for attempt in attempts:
            weight = EARLY_WEIGHT if attempt.before_first_event else LATE_WEIGHT
            was_quarantined = self.is_quarantined(attempt.fingerprint)
            state = self._table.record_crash(
                attempt.fingerprint, target, weight, attempt.started_at, now
            )
            if state is None:
                continue
            states.append(state)
            is_quarantined_now = self.is_quarantined(attempt.fingerprint)
            decision(
                "request-quarantined"
                if is_quarantined_now and not was_quarantined
                else "request-suspected",
                request=attempt.attempt_id,
                fingerprint=f"{attempt.fingerprint:016x}",
                target=target,
                weight=weight,
                crashes=dict(zip(state.targets, state.weights, strict=True)),
            )
        self._send(states, self._neighbours.addresses)

    async def handle(self, message) -> None:
        """Handle a peer's crash states, a view change, a store restore or a tick."""
        match message:
            case Received(sender=sender, message=SuspectStates(states=states)):
                self._merge_states(states, sender)
            case ViewChanged(view=view):
                self._apply_view(view)
            case StoreRestored():
                self._stored_fingerprints = frozenset()
            case Tick():
                self._on_tick()

    def _merge_states(self, states: list[SuspectState], sender: str) -> None:
        """Merge peer states; send new ones to peers that the sender cannot reach."""
        now = _now()
        received = dict.fromkeys(state.fingerprint for state in states)
        previous = {
            fingerprint for fingerprint in received if self.is_quarantined(fingerprint)
        }
        changed = [state for state in states if self._table.merge(state, now)]
        for fingerprint in received:
            if fingerprint not in previous and self.is_quarantined(fingerprint):
                decision(
                    "request-quarantined",
                    fingerprint=f"{fingerprint:016x}",
                    crashes=self._table.weights(fingerprint),
                    told_by=sender,
                )
        self._send(changed, self._neighbours.forward_addresses(sender))

    def _apply_view(self, view: View) -> None:
        """Apply a view and send all states to new neighbours."""
        self._view = view
        new = self._neighbours.apply_view(view)
        self._send(self._table.all_states(_now()), new)

    def _send(self, states: list[SuspectState], addresses: Iterable[str]) -> None:
        if states:
            self._neighbours.send(SuspectStates(states), addresses)

    def _on_tick(self) -> None:
        now = _now()
        self._ticks += 1
        self._table.forget_old(now)
        self._detector.forget_old(now)
        if self._ticks % RESEND_INTERVAL_TICKS == 0:
            self._send(self._table.recent_states(now), self._neighbours.addresses)
        is_writer = self._view.role_known and self._view.has_duty(_DUTY, self._address)
        if is_writer and (self._store_task is None or self._store_task.done()):
            # A task, so that a store that does not answer blocks no peer messages.
            self._store_task = asyncio.create_task(self._sync_with_store())

    async def _sync_with_store(self) -> None:
        """Read the stored requests once; write them when they change."""
        if not self._is_read:
            await self._read_stored()
        current = frozenset(s.fingerprint for s in self._table.quarantined)
        if not self._is_read or current == self._stored_fingerprints:
            return
        states = [self._table.state(s, _now()) for s in self._table.quarantined]
        written = await self._store.write(to_document(states, time.time()))
        if written.is_err():
            decision("quarantine-not-kept", error=str(written.unwrap_err()))
            return
        self._stored_fingerprints = current

    async def _read_stored(self) -> None:
        reply = await self._store.read()
        if reply.is_err():
            decision("quarantine-not-read", error=str(reply.unwrap_err()))
            return
        self._is_read = True
        states = from_document(reply.unwrap(), time.time())
        self._stored_fingerprints = frozenset(state.fingerprint for state in states)
        if states:
            decision("quarantine-read", requests=len(states))
            self._merge_states(states, "")
            self._send(states, self._neighbours.addresses)

    async def stop(self) -> None:
        """Cancel running crash checks and store calls."""
        self._detector.close()
        if self._store_task:
            self._store_task.cancel()


def _now() -> float:
    return asyncio.get_running_loop().time()
