"""The fault matrix: each fault at each step of each kind of request."""

import asyncio
import hashlib
import itertools
from dataclasses import dataclass

from cluster import ENGINE, SERVICE, Cluster, configuration, wait_until

from hibiscusstep.claims.records import shard_of
from hibiscusstep.events import EventKind

KEY = "the-key"
PATHS = {"charge": "/charge", "read": "/read"}
HOLDER = "e0"

STEPS = {
    "received": EventKind.RECEIVED,
    "asked": EventKind.QUEUED,
    "claim sent": "claims/",
    "claim confirmed": EventKind.CLAIMED,
    "dispatched": EventKind.DISPATCHED,
    "run by target": "target",
    "first token": EventKind.FIRST_TOKEN,
    "answered": EventKind.COMPLETED,
    "configuration sent": "configuration",
    "configuration taken": EventKind.CONFIGURATION_IN_FORCE,
    "shutdown asked": EventKind.SHUTDOWN_ASKED,
}
KEYED_STEPS = {"claim sent", "claim confirmed"}
TRIGGERED_STEPS = {"configuration sent", "configuration taken", "shutdown asked"}


@dataclass(frozen=True)
class Cell:
    """One or two faults at one step of one kind of request."""

    kind: str
    step: str
    faults: tuple

    @property
    def name(self):
        return f"{self.kind} / {self.step} / {' + '.join(self.faults)}"


async def kill_holder(cluster):
    await cluster.kill(HOLDER)


async def kill_dispatcher(cluster):
    name = cluster.dispatcher(SERVICE)
    if name in cluster.instances:
        await cluster.kill(name)


async def kill_claim_writer(cluster):
    shard = shard_of(digest(), 2)
    name = next(iter(cluster.instances.values())).view.claim_writer_of(shard)
    if name in cluster.instances:
        await cluster.kill(name)


async def cut_holder(cluster):
    others = [name for name in cluster.instances if name != HOLDER]
    if HOLDER in cluster.instances and others:
        cluster.cut_links([HOLDER], others)


async def drain_holder(cluster):
    if HOLDER in cluster.instances:
        await cluster.drain(HOLDER)


async def platform_down(cluster):
    cluster.platform.faults.down = True


async def platform_slow(cluster):
    cluster.platform.faults.delay = 0.4


async def answer_lost(cluster):
    cluster.platform.faults.lose_answers += 1


async def target_leaves(cluster):
    await cluster.control("service-0", leaving=True)
    await cluster.control("engine-0", leaving=True)


async def target_dies(cluster):
    await cluster.control("engine-0", dead=True)
    await cluster.stop_target("service-0")


async def target_slow(cluster):
    await cluster.control("service-0", duration=0.5)
    await cluster.control("engine-0", slow=5.0)


async def configuration_race(cluster):
    """Apply two configurations at the same version, of which one is accepted."""
    files = [configuration(cluster.targets, deadline=n) for n in (4, 5)]
    await asyncio.gather(*(cluster.apply(f) for f in files), return_exceptions=True)


FAULTS = {
    "kill holder": kill_holder,
    "kill dispatcher": kill_dispatcher,
    "kill claim writer": kill_claim_writer,
    "cut holder": cut_holder,
    "drain holder": drain_holder,
    "platform down": platform_down,
    "platform slow": platform_slow,
    "answer lost": answer_lost,
    "target leaves": target_leaves,
    "target dies": target_dies,
    "target slow": target_slow,
    "configuration race": configuration_race,
}
PAIRS = [
    ("platform down", "kill holder"),
    ("platform down", "kill dispatcher"),
    ("answer lost", "kill claim writer"),
    ("answer lost", "answer lost"),
    ("cut holder", "platform down"),
    ("kill holder", "kill dispatcher"),
    ("target dies", "kill dispatcher"),
    ("target dies", "platform down"),
    ("drain holder", "platform down"),
]
KINDS = ("charge", "read", "chat")


def cells():
    """Return all cells: each applicable kind and step with each fault and pair."""
    single = [(fault,) for fault in FAULTS]
    matrix = [
        Cell(kind, step, faults)
        for kind, step, faults in itertools.product(KINDS, STEPS, single + PAIRS)
        if _applies(kind, step)
    ]
    return matrix


def _applies(kind, step):
    if step in KEYED_STEPS:
        return kind == "charge"
    return kind == "charge" or step not in TRIGGERED_STEPS


def digest():
    return hashlib.blake2b(f"club\0{KEY}".encode(), digest_size=16).digest()


def send(cluster, kind, name):
    if kind == "chat":
        return cluster.chat(name, "why?", tokens=25)
    key = KEY if kind == "charge" else ""
    return cluster.call(name, PATHS[kind], key=key)


async def run_cell(folder, cell):
    """Run a cell; raise AssertionError with the events if a promise is broken."""
    options = {"duration": 0.15, "deadline": 6.0, "timeout": 0.8, "max_running": 4}
    async with Cluster(folder, 3, services=2, engines=2, **options) as cluster:
        injected = asyncio.Event()

        def inject():
            asyncio.create_task(_inject(cluster, cell.faults, injected))

        inject_at_step(cluster, cell.step, inject)
        background_reads = [
            asyncio.create_task(cluster.call(name, "/read"))
            for name in ("e1", "e2")
            for _ in range(3)
        ]
        first = asyncio.create_task(send(cluster, cell.kind, HOLDER))
        trigger_step(cluster, cell.step)
        await asyncio.wait_for(injected.wait(), 15)
        reply = await first
        allowed = {"whole", "not run", "outcome unknown", "failed"}
        if HOLDER in cluster.killed or "drain holder" in cell.faults:
            allowed.add("broken")
        assert reply.outcome in allowed, reply.outcome
        await restore_all(cluster)
        await asyncio.gather(*background_reads)
        await check_recovery(cluster, cell.kind)
        await wait_until(
            lambda: not any(e._caller_server.open_requests for e in cluster._live())
        )
        cluster.check()
        return reply.outcome


async def _inject(cluster, faults, injected):
    for fault in faults:
        await FAULTS[fault](cluster)
    injected.set()


def inject_at_step(cluster, step, inject):
    """Call `inject` when the step is reached."""
    trigger = STEPS[step]
    holder = None if step in TRIGGERED_STEPS else [HOLDER]
    if trigger == "target":
        cluster.on_event(
            EventKind.DISPATCHED,
            lambda: asyncio.create_task(inject_once_served(cluster, inject)),
            holder,
        )
    elif isinstance(trigger, EventKind):
        cluster.on_event(trigger, inject, holder)
    else:
        cluster.before_put(trigger, inject)


async def inject_once_served(cluster, inject):
    served = EventKind.SERVED
    await wait_until(
        lambda: any(e.request.startswith(HOLDER) for e in cluster.events(served))
    )
    inject()


def trigger_step(cluster, step):
    """Trigger a step that the request itself does not reach."""
    if step.startswith("configuration"):
        files = configuration(cluster.targets, deadline=7.0, timeout=0.8)
        cluster.run_in_background(cluster.apply_until_known(files))
    elif step == "shutdown asked":
        cluster.run_in_background(cluster.drain("e2"))


async def restore_all(cluster):
    """End all faults and restart killed or drained instances."""
    await cluster.wait_background()
    cluster.platform.faults.down = False
    cluster.platform.faults.delay = 0.0
    cluster.platform.faults.lose_answers = 0
    cluster.restore_links()
    for kind in (SERVICE, ENGINE):
        await cluster.restart_target(f"{kind}-0")
    await cluster.control("service-0", leaving=False, duration=0.05)
    await cluster.control("engine-0", leaving=False, dead=False, slow=1.0)
    for name in ("e0", "e1", "e2"):
        if name not in cluster.instances:
            await cluster.start(name)
    await cluster.wait_settled()


async def check_recovery(cluster, kind):
    """Wait until a repeat of the request is answered and each instance serves."""
    async with asyncio.timeout(20):
        while (await send(cluster, kind, "e1")).outcome == "not run":
            await asyncio.sleep(0.1)
        for name in cluster.instances:
            while (await cluster.call(name, "/read")).outcome != "whole":
                await asyncio.sleep(0.1)
            while (await cluster.call(name, key=f"after-{name}")).outcome != "whole":
                await asyncio.sleep(0.1)
