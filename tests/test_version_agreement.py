"""Current versions of several instances, on a simulated clock.

The catalogs, coordinators of rollouts and distributors of the program run with a store
and a network that fail in the ways that they may.
"""

import asyncio
import enum
import itertools
import logging
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from result import Err, Ok
from simulated_clock import SimulatedClockLoop

from hibiscusstep import codec
from hibiscusstep.errors import PlatformConflict, PlatformNotFound, PlatformUnavailable
from hibiscusstep.forwarding import rollouts
from hibiscusstep.forwarding.begun_versions import RECORD_TIMEOUT_S
from hibiscusstep.forwarding.catalog import Catalog, SetFollowing
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.pool_versions import NO_VERSIONS
from hibiscusstep.forwarding.rollouts import RolloutCoordinator, TargetsChanged
from hibiscusstep.forwarding.state_distributor import StateDistributor
from hibiscusstep.forwarding.target_messages import from_target_states
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Received, TargetStates
from hibiscusstep.platform.eras import join_revision, split_revision
from hibiscusstep.rollout.controller import RolloutProgress
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.rollout.rollout_update import RolloutUpdate
from hibiscusstep.store import (
    Change,
    Feed,
    Listing,
    RevisionExpired,
    RolloutStore,
    StoredVersions,
    StoreRestored,
    StreamStore,
)

POOL = "p"
INSTANCES = 3
# An instance whose targets and orders do not change has a version that may serve.
DECISION_S = 2.0
STEP_S = 0.125
CALL_S, SLOW_CALL_S = 0.004, 0.25
# A message arrives late by up to this, which is longer than a decision takes.
NETWORK_DELAY_S, MAX_DELAY_S = 0.005, 3.0
# Time after which an instance that is cut off is missing from the view of others.
SILENCE_S = 0.5
# After a restore, operators and targets write again what the store lacks.
REWRITE_S = 1.0
# Everything known is equal everywhere so long after a fault of network or store: a
# watch ends after 6 s, and what is missing then is kept for 2.2 s.
SETTLE_S = 12.0
# A record that was lost is sent again each second to one of two neighbours.
RESENT_S = 10.0
START_UNIX_S = 1_000_000.0


class Fate(enum.Enum):
    """What happens to the messages of a sender."""

    IN_TIME = "they arrive in order"
    LATE = "they arrive late and in any order"
    TWICE = "they arrive twice, the second time late"
    LOST = "they never arrive"


class _Store:
    """Objects by kind and name with their revision, and the changes of one era."""

    def __init__(self):
        self.revision, self.era = 1, 1
        self.objects = {"servers": {}, "rollouts": {}}
        self.versions = {}
        self.progress = {}
        self._history = []
        self._changed = asyncio.Event()

    @property
    def joined_revision(self):
        return self._join(self.revision)

    def put(self, kind, name, item):
        self.revision += 1
        self.objects[kind][name] = (self.revision, item)
        self._append(kind, name, item)

    def remove(self, kind, name):
        self.revision += 1
        self.objects[kind].pop(name, None)
        self._append(kind, name, None)

    def copy(self):
        objects = {kind: dict(found) for kind, found in self.objects.items()}
        return self.revision, objects, dict(self.versions)

    def restore(self, kept):
        """Lose what was written since a copy was made."""
        self.revision, objects, versions = kept
        self.objects = {kind: dict(found) for kind, found in objects.items()}
        self.versions = dict(versions)
        self.era += 1
        self._history = []
        self._wake()

    def items(self, kind):
        return {
            name: self._revised(item, revision)
            for name, (revision, item) in self.objects[kind].items()
        }

    def changes(self, kind, since):
        return [
            Change(name, item and self._revised(item, revision), self._join(revision))
            for revision, of, name, item in self._history
            if of == kind and revision > since
        ]

    async def wait(self):
        await self._changed.wait()

    def _join(self, revision):
        return join_revision(self.era, revision)

    def _revised(self, item, revision):
        return replace(item, revision=self._join(revision))

    def _append(self, kind, name, item):
        self._history.append((self.revision, kind, name, item))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()


class _Connection:
    """An instance's access to the store, which may be slow or refused."""

    def __init__(self, store, on_restored, call_s):
        self.store = store
        self.is_refused = False
        self.call_s = call_s
        self._era = 0
        self._on_restored = on_restored

    async def call(self):
        """Make a call and return its error, None if it is answered."""
        await asyncio.sleep(self.call_s)
        if self.is_refused:
            return Err(PlatformUnavailable("status 503"))
        if self._era and self.store.era > self._era:
            self._on_restored()
        self._era = self.store.era
        return None


class _Feed(Feed):
    def __init__(self, connection, kind):
        self._connection = connection
        self.name = kind

    async def read_all(self):
        if error := await self._connection.call():
            return error
        store = self._connection.store
        return Ok(Listing(store.items(self.name), store.joined_revision, store.era))

    async def watch(self, revision, timeout):
        if error := await self._connection.call():
            return error
        store, (era, since) = self._connection.store, split_revision(revision)
        try:
            async with asyncio.timeout(timeout):
                while store.era == era and not store.changes(self.name, since):
                    await store.wait()
        except TimeoutError:
            pass
        if self._connection.is_refused:
            return Err(PlatformUnavailable("cut off"))
        if store.era != era:
            return Err(RevisionExpired("restored"))
        return Ok((store.changes(self.name, since), store.joined_revision))


class _SilentFeed(Feed):
    """Feed of the configuration, which no test here needs."""

    name = "config"

    async def read_all(self):
        await asyncio.Event().wait()

    async def watch(self, revision, timeout):
        raise NotImplementedError


class _Rollouts(RolloutStore):
    def __init__(self, connection):
        self._connection = connection
        self.feed = _Feed(connection, "rollouts")

    async def write_state(self, order, state):
        if error := await self._connection.call():
            return error
        store = self._connection.store
        known = store.items("rollouts").get(order.pool)
        if known is None:
            return Err(PlatformNotFound("404"))
        if known.revision != order.revision:
            return Err(PlatformConflict("409"))
        written = replace(order, state=state, state_version=order.version)
        store.put("rollouts", order.pool, written)
        return Ok(store.items("rollouts")[order.pool])

    async def write_progress(self, pool, document):
        if error := await self._connection.call():
            return error
        self._connection.store.progress[pool] = document
        return Ok(None)

    async def read_progress(self, pool):
        if error := await self._connection.call():
            return error
        return Ok(self._connection.store.progress.get(pool))


class _Streams(StreamStore):
    def __init__(self, connection):
        self._connection = connection

    async def read_versions(self, pool=None):
        if error := await self._connection.call():
            return error
        found = self._stored()
        return Ok({name: found[name] for name in found if pool in (None, name)})

    def _stored(self):
        store = self._connection.store
        return {
            pool: StoredVersions(
                versions, join_revision(store.era, revision), era == store.era
            )
            for pool, (revision, versions, era) in store.versions.items()
        }

    async def write_versions(self, pool, versions, revision):
        if error := await self._connection.call():
            return error
        store, known = self._connection.store, self._stored().get(pool)
        if known is None and revision:
            return Err(PlatformNotFound("404"))
        if known is not None and known.revision != revision:
            return Err(PlatformConflict("409"))
        store.revision += 1
        store.versions[pool] = (store.revision, frozenset(versions), store.era)
        return Ok(self._stored()[pool])

    async def write_segment(self, pool, segment, document):
        return Ok(None)

    async def read_segments(self, pool):
        return Ok([])


class _Network:
    """Carries encoded messages between the instances that are running."""

    def __init__(self, loop, instances):
        self._loop = loop
        self._instances = instances
        self.fates = {}
        # When instances were cut off, by name.
        self.cut_off = {}
        self.has_lost = False

    def send(self, sender, receiver, message):
        data = codec.encode(message)
        fate = self.fates.get(sender, Fate.IN_TIME)
        if {sender, receiver} & self.cut_off.keys() or fate is Fate.LOST:
            self.has_lost = True
            return
        late = random.uniform(NETWORK_DELAY_S, MAX_DELAY_S)
        delays = {
            Fate.IN_TIME: [NETWORK_DELAY_S],
            Fate.LATE: [late],
            Fate.TWICE: [NETWORK_DELAY_S, late],
        }
        # A late one arrives also after the network has healed and after restarts.
        for delay in delays[fate]:
            self._loop.call_later(
                delay, self._deliver, sender, receiver, type(message), data
            )

    def _deliver(self, sender, receiver, cls, data):
        if receiver in self._instances:
            message = codec.decode(cls, data)
            self._instances[receiver].deliver(Received(sender, message))


class _Links:
    def __init__(self, own, network):
        self._own, self._network = own, network

    def tell(self, message):
        self._network.send(self._own, message.address, message.message)


class _Instance:
    """The parts of an instance that find which versions of a pool may serve."""

    def __init__(self, name, incarnation, connection, network, **options):
        self.name, self.incarnation = name, incarnation
        self.view = View(role_known=False)
        self.targets = {}
        self.may_serve = NO_VERSIONS
        self.connection = connection
        self._decided_at = asyncio.get_running_loop().time()
        self._known = None
        links = _Links(name, network)
        self.catalog = Catalog(
            _SilentFeed(),
            _Feed(connection, "servers"),
            lambda table: None,
            self._on_targets,
            lambda target: None,
            lambda targets: self.distributor.send_announced(targets),
        )
        self.distributor = StateDistributor(
            incarnation, name, "z", links, self.targets, lambda: self.catalog.revision
        )
        self.rollouts = RolloutCoordinator(
            name,
            name,
            links,
            _Rollouts(connection),
            _Streams(connection),
            self._plan,
            lambda confirmed: None,
            self._decided_at,
            **options,
        )
        self.catalog.tell(SetFollowing(True))
        self._tasks = [
            asyncio.create_task(worker.run())
            for worker in (self.catalog, self.rollouts)
        ]

    @property
    def entry(self):
        return self.rollouts.version_table[POOL]

    @property
    def serving(self):
        return self.rollouts.version_table.serving_versions(POOL)

    @property
    def ready_versions(self):
        """Versions with a target that is ready, but for one that was rolled back."""
        ready = {t.version for t in self.targets.values() if not t.leaving}
        return ready - {self.rollouts.version_table.rejected_version(POOL)}

    def deliver(self, received):
        if isinstance(received.message, TargetStates):
            self.catalog.tell(from_target_states(received.message))
        else:
            self.rollouts.tell(received)

    def apply_view(self, view):
        if view != self.view:
            self.view = view
            self.rollouts.tell(ViewChanged(view))
            self.distributor.apply_view(view)

    def _on_targets(self, targets, changes):
        self.targets.clear()
        self.targets.update(targets)
        is_complete = self.catalog.revision > 0
        self.rollouts.tell(TargetsChanged(tuple(targets.values()), is_complete))
        self._plan()
        self.distributor.send_changes(changes)

    def _plan(self):
        """Find the versions that may serve, as the plan of an instance has them."""
        table, now = self.rollouts.version_table, asyncio.get_running_loop().time()
        present = {t.version for t in self.targets.values()}
        ready = {t.version for t in self.targets.values() if not t.leaving}
        serving = table.serving_versions(POOL, present)
        may_serve = (serving or ready) | {table.ordered_version(POOL)}
        candidates = frozenset(ready & may_serve)
        begun = table[POOL].begun
        begun.update(candidates, now)
        self.may_serve = begun.allowed(candidates, now)

    def check(self, now):
        """Fail if no version may serve for longer than a decision takes.

        An order that runs bars other versions, also while its own has no target.
        """
        for task in self._tasks:
            if task.done():
                task.result()
        entry, ready = self.entry, self.ready_versions
        known = ready, entry.revision, entry.final
        is_barred = entry.is_running and entry.order.version not in ready
        if known != self._known or is_barred or not ready or ready & self.may_serve:
            self._known, self._decided_at = known, now
        limit = DECISION_S
        if self.connection.is_refused or self.connection.call_s > CALL_S:
            # A version waits for its record, but not for long.
            limit += RECORD_TIMEOUT_S
        assert now - self._decided_at <= limit, (
            f"{self.name}: {sorted(ready)} ready, {sorted(self.may_serve)} may serve, "
            f"{sorted(entry.serving)} current ({entry.source})"
        )

    async def end(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class VersionAgreementMachine(RuleBasedStateMachine):
    """Guards against a pool that stays dark, and instances that disagree on it.

    Targets of several versions come and go, orders come, run, end and are withdrawn,
    and instances start again alone or all at once, while messages are late, repeated,
    reordered or lost and the store refuses calls or is restored.
    """

    VERSIONS = st.sampled_from(["v1", "v2", "v3"])
    NAMES = st.sampled_from([f"n{number}" for number in range(INSTANCES)])
    CALL_TIMES = st.sampled_from([CALL_S, SLOW_CALL_S])
    # Less than a tick, less than a decision takes, and more.
    PAUSES = st.sampled_from([0.0, STEP_S, 0.5, 1.5, 2.5])

    def __init__(self):
        super().__init__()
        logging.disable(logging.CRITICAL)
        self.loop = SimulatedClockLoop(100.0)
        self._patch = pytest.MonkeyPatch()
        clock = SimpleNamespace(time=lambda: START_UNIX_S + self.loop.time())
        self._patch.setattr(rollouts, "time", clock)
        self.instances = {}
        self.network = _Network(self.loop, self.instances)
        self.store = _Store()
        self.kept = self.store.copy()
        self.targets, self.ordered = {}, None
        # Whether anything but restarts and changes of targets and orders happened.
        self.is_disturbed = False
        self.numbers = itertools.count(1)

    def teardown(self):
        self._run(self._end(list(self.instances)))
        self.loop.close()
        self._patch.undo()
        logging.disable(logging.NOTSET)

    def _run(self, coroutine):
        self.loop.run_until_complete(coroutine)

    # Instances.

    async def _end(self, names):
        ended = [self.instances.pop(name) for name in names]
        await asyncio.gather(*(instance.end() for instance in ended))

    async def _start(self, call_times, *, is_first=False):
        """Start instances, given the seconds of their calls to the store by name."""
        for name, call_s in call_times.items():
            connection = _Connection(
                self.store,
                lambda name=name: self.instances[name].rollouts.tell(StoreRestored()),
                call_s,
            )
            self.instances[name] = _Instance(
                name,
                f"{name}-{next(self.numbers)}",
                connection,
                self.network,
                is_first_start=is_first,
                orders_rollouts=self.orders_rollouts,
            )

    async def _pass(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self._update_views()
            await asyncio.sleep(STEP_S)
            for instance in self.instances.values():
                instance.check(self.loop.time())

    def _update_views(self):
        members = {
            instance.name: Member(
                instance.name,
                instance.incarnation,
                "z",
                "r",
                instance.name,
                "",
                1,
                ready=instance.catalog.revision > 0,
                leaving=False,
            )
            for instance in self.instances.values()
        }
        for name, instance in self.instances.items():
            seen = {n: members[n] for n in members if n == name or self._sees(name, n)}
            instance.apply_view(View(seen))

    def _sees(self, *names):
        cut_off, now = self.network.cut_off, self.loop.time()
        return all(now < cut_off.get(name, now) + SILENCE_S for name in names)

    @initialize(
        orders_rollouts=st.sampled_from([True, True, False]),
        versions=st.lists(VERSIONS, min_size=1, max_size=2),
        later=st.lists(VERSIONS, max_size=2),
    )
    def begin(self, orders_rollouts, versions, later):
        """Start instances that know some versions, then targets of others."""
        self.orders_rollouts = orders_rollouts
        for version in versions:
            self._add_target(version)
        names = [f"n{number}" for number in range(INSTANCES)]
        self._run(self._start(dict.fromkeys(names, CALL_S), is_first=True))
        self._run(self._pass(0.5))
        for version in later:
            self._add_target(version)

    @rule(
        names=st.sets(NAMES, min_size=1),
        call_times=st.lists(CALL_TIMES, min_size=INSTANCES, max_size=INSTANCES),
        fate=st.sampled_from(Fate),
        pause=PAUSES,
    )
    def restart(self, names, call_times, fate, pause):
        """End some or all instances at once and start them again."""
        self._run(self._end(sorted(names)))
        self.is_disturbed |= fate is not Fate.IN_TIME
        self.network.fates = dict.fromkeys(sorted(self.instances) + sorted(names), fate)
        self._run(self._start(dict(zip(sorted(names), call_times, strict=False))))
        self._run(self._pass(pause))

    # Targets and orders.

    @rule(version=VERSIONS, has_start=st.booleans(), pause=PAUSES)
    def add_target(self, version, has_start, pause):
        self._add_target(version, has_start=has_start)
        self._run(self._pass(pause))

    def _add_target(self, version, *, has_start=False):
        number = next(self.numbers)
        name, born = f"t{number}", 1000 + number if has_start else 0
        self._put(DiscoveredTarget(name, POOL, "a:1", "z", 4, False, 1, born, version))

    def _put(self, target):
        self.targets[target.id] = target
        self.store.put("servers", target.id, target)

    @precondition(lambda self: self.targets)
    @rule(data=st.data(), is_version=st.booleans(), pause=PAUSES)
    def remove_targets(self, data, is_version, pause):
        """Let a target leave or end, or all of its version."""
        chosen = self.targets[data.draw(st.sampled_from(sorted(self.targets)))]
        for target in list(self.targets.values()):
            if target is not chosen and not (
                is_version and target.version == chosen.version
            ):
                continue
            if chosen.leaving:
                del self.targets[target.id]
                self.store.remove("servers", target.id)
            else:
                self._put(replace(target, leaving=True))
        self._run(self._pass(pause))

    @rule(
        version=VERSIONS,
        state=st.sampled_from(RolloutState),
        is_withdrawn=st.booleans(),
        pause=PAUSES,
    )
    def order(self, version, state, is_withdrawn, pause):
        """Order a version; if one is ordered, end its order or withdraw it."""
        if self.ordered is None:
            self.ordered = RolloutOrder(POOL, version, 60.0, 1)
            self._write_order()
        elif is_withdrawn:
            self.ordered = None
            self.store.remove("rollouts", POOL)
        elif state is RolloutState.RUNNING:
            self.ordered = replace(self.ordered, version=version)
            self._write_order()
        else:
            self._end_order(state)
        self._run(self._pass(pause))

    def _write_order(self):
        """Write the operator's order; the status of an earlier one stays."""
        known = self.store.items("rollouts").get(POOL)
        state, of = (known.state, known.state_version) if known else (None, "")
        order = replace(self.ordered, state=state, state_version=of)
        if known is None or replace(known, revision=1) != order:
            self.store.put("rollouts", POOL, order)

    def _end_order(self, state):
        """Let the instance that dispatches the pool end its order."""
        for instance in self.instances.values():
            entry, dispatcher = instance.entry, instance.view.dispatcher_of(POOL)
            if dispatcher == instance.name and entry.is_running and entry.is_begun:
                update = RolloutUpdate(POOL, entry.number, RolloutProgress(), state)
                instance.rollouts.tell(update)

    # The network and the store.

    @rule(name=NAMES, fate=st.sampled_from([*Fate, None]), pause=PAUSES)
    def disturb_network(self, name, fate, pause):
        """Change what happens to an instance's messages, or cut it off."""
        self.is_disturbed = True
        self.network.cut_off.pop(name, None)
        if fate is None:
            self.network.cut_off[name] = self.loop.time()
        else:
            self.network.fates[name] = fate
        self._run(self._pass(pause))

    @rule(name=NAMES, is_refused=st.booleans(), call_s=CALL_TIMES, pause=PAUSES)
    def disturb_store(self, name, is_refused, call_s, pause):
        self.is_disturbed = True
        connection = self.instances[name].connection
        connection.is_refused, connection.call_s = is_refused, call_s
        self._run(self._pass(pause))

    @rule(pause=PAUSES)
    def restore(self, pause):
        """Restore the copy made last, and make another one."""
        self.is_disturbed = True
        self.store.restore(self.kept)
        self.loop.call_later(REWRITE_S, self._rewrite)
        self._run(self._pass(pause))
        self.kept = self.store.copy()

    def _rewrite(self):
        """Write again what the store lacks, as targets and operators do."""
        for name in sorted(self.store.objects["servers"].keys() - self.targets.keys()):
            self.store.remove("servers", name)
        for target in self.targets.values():
            self.store.put("servers", target.id, target)
        if self.ordered is not None:
            self._write_order()
        elif POOL in self.store.objects["rollouts"]:
            self.store.remove("rollouts", POOL)

    @rule()
    def settle(self):
        """All agree once messages arrive, the store answers and nothing changes."""
        seconds = MAX_DELAY_S + DECISION_S
        if self.is_disturbed:
            seconds = SETTLE_S + (RESENT_S if self.network.has_lost else 0.0)
        self.network.fates.clear()
        self.network.cut_off.clear()
        for instance in self.instances.values():
            connection = instance.connection
            connection.is_refused, connection.call_s = False, CALL_S
        self._run(self._pass(seconds))
        self.is_disturbed = self.network.has_lost = False
        expected = {(t.id, t.leaving) for t in self.targets.values()}
        for instance in self.instances.values():
            known = {(t.id, t.leaving) for t in instance.targets.values()}
            assert known == expected, instance.name
        states = {
            i.name: (sorted(i.serving), i.entry.is_running, i.entry.is_rejected)
            for i in self.instances.values()
        }
        assert len(set(map(repr, states.values()))) == 1, states


TestVersionAgreement = VersionAgreementMachine.TestCase
# Shrinking a failing run would take minutes.
TestVersionAgreement.settings = settings(
    max_examples=150, stateful_step_count=20, phases=[Phase.generate]
)


class TestRestartOfAllInstances:
    """Guards against a pool that stays dark after a restart of all instances.

    An instance that had heard all targets before it read them never took part in
    finding the current version.
    """

    @pytest.mark.parametrize("orders_rollouts", [False, True])
    def test_one_that_reads_later_has_a_version_in_time(self, orders_rollouts):
        machine = VersionAgreementMachine()
        try:
            machine.begin(orders_rollouts, ["v1", "v2"], [])
            names = sorted(machine.instances)
            calls_s = [CALL_S, SLOW_CALL_S, SLOW_CALL_S]
            machine.restart(names, calls_s, Fate.IN_TIME, DECISION_S + 1.0)
            machine.settle()
        finally:
            machine.teardown()
