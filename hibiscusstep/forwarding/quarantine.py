"""hibiscusstep.forwarding.quarantine: keeps crashing requests away from targets."""

import asyncio
import time
from collections.abc import Iterable

from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.crashes import BrokenRun, CrashDetector
from hibiscusstep.forwarding.kept_suspects import from_document, to_document
from hibiscusstep.forwarding.model import DiscoveredTarget
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
# A message that a broken connection lost is made up for after so many ticks.
TELL_ALL_EVERY = 5
_DUTY = "quarantine"


class Quarantine(Worker):
    """Knows which requests crash their targets, with all other instances.

    A request under which targets crashed one after the other is sent to no further
    one, by any instance: each crash cuts off all that runs beside it. What is known is
    told to all instances at once, to those that start, and through relays; what is
    quarantined is kept in the store, for after a restart of all.

    Parameters
    ----------
    address : str
        Own peer address.
    links : Worker
        Sends to peers.
    connections : ConnectionPool
        To targets.
    store : SuspectStore
        Keeps what is quarantined.
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
        self._detector = CrashDetector(connections, self._take_crash)
        self._table = SuspectTable()
        self._view = View(role_known=False)
        self._neighbours = Neighbours(address, links)
        self._ticks = 0
        self._read = False
        self._written: frozenset[int] = frozenset()
        self._keeping: asyncio.Task | None = None

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any request."""
        return not len(self._table)

    @property
    def suspected(self) -> int:
        """Requests that some crash counts against."""
        return len(self._table.suspected)

    @property
    def quarantined(self) -> int:
        """Requests that are sent to no target."""
        return len(self._table.quarantined)

    def is_suspected(self, fingerprint: int) -> bool:
        """Whether some crash counts against a request."""
        return self._table.is_suspected(fingerprint)

    def holds(self, fingerprint: int) -> bool:
        """Whether a request is to be sent to no target."""
        return self._table.is_quarantined(fingerprint)

    def may_be_repeated(self, fingerprint: int) -> bool:
        """Whether an instance may send a request to another target by itself."""
        return self._table.may_be_repeated(fingerprint)

    def expires_in(self, fingerprint: int) -> float:
        """Return the seconds until a request may be served again."""
        return self._table.expires_in(fingerprint, _now())

    def listing(self) -> list[dict]:
        """Return all that some crash counts against, for operators."""
        now = _now()
        return [
            {
                "fingerprint": f"{suspect.fingerprint:016x}",
                "quarantined": self._table.is_quarantined(suspect.fingerprint),
                "seconds_since": {
                    target: round(now - crash.at, 1)
                    for target, crash in suspect.crashes.items()
                },
                "expires_in": round(
                    self._table.expires_in(suspect.fingerprint, now), 1
                ),
            }
            for suspect in self._table.suspected
        ]

    def broke(self, target: DiscoveredTarget, run: BrokenRun) -> None:
        """Take note that a connection to a target ended under a request."""
        self._detector.broke(target, run)

    def answered(self, fingerprint: int, why: str = "answered") -> bool:
        """Clear a request that a target answered; whether anything counted."""
        state = self._table.answered(fingerprint, _now())
        if state is None:
            return False
        decision("request-cleared", fingerprint=f"{fingerprint:016x}", why=why)
        self._tell([state], self._neighbours.addresses)
        return True

    def _take_crash(self, target: str, runs: list[BrokenRun]) -> None:
        now = _now()
        states = []
        for run in runs:
            weight = EARLY_WEIGHT if run.early else LATE_WEIGHT
            was_held = self.holds(run.fingerprint)
            state = self._table.crashed(run.fingerprint, target, weight, run.began, now)
            if state is None:
                continue
            states.append(state)
            held = self.holds(run.fingerprint)
            decision(
                "request-quarantined" if held and not was_held else "request-suspected",
                request=run.request,
                fingerprint=f"{run.fingerprint:016x}",
                target=target,
                weight=weight,
                crashes=dict(zip(state.targets, state.weights, strict=True)),
            )
        self._tell(states, self._neighbours.addresses)

    async def handle(self, message) -> None:
        """Take what a peer tells, a view, or a tick."""
        match message:
            case Received(sender=sender, message=SuspectStates(states=states)):
                self._take_states(states, sender)
            case ViewChanged(view=view):
                self._take_view(view)
            case StoreRestored():
                self._written = frozenset()
            case Tick():
                self._take_tick()

    def _take_states(self, states: list[SuspectState], sender: str) -> None:
        """Take what a peer knows, and tell on what is new to those it can't reach."""
        now = _now()
        told = dict.fromkeys(state.fingerprint for state in states)
        held = {fingerprint for fingerprint in told if self.holds(fingerprint)}
        changed = [state for state in states if self._table.take(state, now)]
        for fingerprint in told:
            if fingerprint not in held and self.holds(fingerprint):
                decision(
                    "request-quarantined",
                    fingerprint=f"{fingerprint:016x}",
                    crashes=self._table.weights(fingerprint),
                    told_by=sender,
                )
        self._tell(changed, self._neighbours.forward_addresses(sender))

    def _take_view(self, view: View) -> None:
        """Tell new neighbours all that is known."""
        self._view = view
        new = self._neighbours.apply_view(view)
        self._tell(self._table.states(_now()), new)

    def _tell(self, states: list[SuspectState], addresses: Iterable[str]) -> None:
        if states:
            self._neighbours.send(SuspectStates(states), addresses)

    def _take_tick(self) -> None:
        now = _now()
        self._ticks += 1
        self._table.forget_old(now)
        self._detector.forget_old(now)
        if self._ticks % TELL_ALL_EVERY == 0:
            self._tell(self._table.recent(now), self._neighbours.addresses)
        keeps = self._view.role_known and self._view.has_duty(_DUTY, self._address)
        if keeps and (self._keeping is None or self._keeping.done()):
            # A store that does not answer must not hold up what peers tell.
            self._keeping = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        """Read what was kept, once; write what is quarantined when that changes."""
        if not self._read:
            await self._read_kept()
        held = frozenset(s.fingerprint for s in self._table.quarantined)
        if not self._read or held == self._written:
            return
        states = [self._table.state(s, _now()) for s in self._table.quarantined]
        written = await self._store.write(to_document(states, time.time()))
        if written.is_err():
            decision("quarantine-not-kept", error=str(written.unwrap_err()))
            return
        self._written = held

    async def _read_kept(self) -> None:
        reply = await self._store.read()
        if reply.is_err():
            decision("quarantine-not-read", error=str(reply.unwrap_err()))
            return
        self._read = True
        states = from_document(reply.unwrap(), time.time())
        self._written = frozenset(state.fingerprint for state in states)
        if states:
            decision("quarantine-read", requests=len(states))
            self._take_states(states, "")
            self._tell(states, self._neighbours.addresses)

    async def stop(self) -> None:
        """End what is being looked into."""
        self._detector.close()
        if self._keeping:
            self._keeping.cancel()


def _now() -> float:
    return asyncio.get_running_loop().time()
