"""Network of one process in which instances can be partitioned from targets."""

import asyncio
import collections
import contextlib
import contextvars
import enum
import itertools
import random

from platform_standin import TargetStandIn, answer, chunk, event, stream_head
from test_forwarding import BOUND_S, Site

_INSTANCE = contextvars.ContextVar("instance", default=None)
# Time from the start of a partition in which requests may fail.
CONTACT_S = 3.0
DEADLINE_S = 2.0


class Cut(enum.Enum):
    """What a partition does to the connections of an instance to the targets."""

    HANG = "all connections hang"
    RESET = "all connections are reset"
    REFUSE = "open connections are reset, new ones are refused, as after a crash"
    NEW_REFUSED = "open connections work, new ones are refused"
    NEW_HANG = "open connections work, new ones hang"


class PartitionedNetwork:
    """Partitions instances from targets where the event loop opens connections."""

    def __init__(self, monkeypatch):
        self.cuts = {}
        self.ports = set()
        # Direct connections that were tried by each instance.
        self.tried = collections.Counter()
        self._open = collections.defaultdict(list)
        loop = asyncio.get_running_loop()
        self._create = loop.create_connection
        monkeypatch.setattr(loop, "create_connection", self._create_connection)

    @contextlib.contextmanager
    def as_instance(self, number):
        """Let tasks that start in this block count as those of an instance."""
        token = _INSTANCE.set(number)
        try:
            yield
        finally:
            _INSTANCE.reset(token)

    async def _create_connection(self, factory, host=None, port=None, **options):
        instance = _INSTANCE.get()
        if port in self.ports:
            self.tried[instance] += 1
            match self.cuts.get(instance):
                case Cut.HANG | Cut.NEW_HANG:
                    await asyncio.Event().wait()
                case Cut.RESET:
                    raise ConnectionResetError(port)
                case Cut.REFUSE | Cut.NEW_REFUSED:
                    raise ConnectionRefusedError(port)
        transport, protocol = await self._create(factory, host, port, **options)
        if port in self.ports:
            self._open[instance].append(transport)
        return transport, protocol

    def cut(self, kind, instances):
        """Partition these instances from all targets."""
        self.cuts |= dict.fromkeys(instances, kind)
        for transport in (t for number in instances for t in self._open[number]):
            if kind in (Cut.RESET, Cut.REFUSE):
                transport.abort()
            elif kind is Cut.HANG and not transport.is_closing():
                transport.pause_reading()
                transport.write = transport.resume_reading = lambda *_data: None

    def heal(self):
        """End the partition."""
        self.cuts = {}


class PartitionedSite(Site):
    """Deployment whose instances can be partitioned from the targets.

    Attributes
    ----------
    runs : Counter
        Number of runs by request id.
    """

    async def begin(
        self,
        monkeypatch,
        instances=4,
        targets=4,
        work_s=0.05,
        script=None,
        document=None,
        data_centres=(),
    ):
        """Start instances and targets; return once all may relay requests.

        `data_centres` are those of the instances; one for all if there are none.
        """
        data_centres = iter(data_centres)
        self.network = PartitionedNetwork(monkeypatch)
        self.runs = collections.Counter()

        def run(_number, fields, _body):
            self.runs[fields["x-request-id"]] += 1
            if "events" in fields:
                numbers = range(int(fields["events"]))
                parts = ([chunk(event(number)), work_s] for number in numbers)
                return [work_s, stream_head(fields), *sum(parts, []), chunk(b"")]
            # Connections are kept for a short time, so that new ones are needed.
            return [work_s, answer(fields).replace(b"timeout=5", b"timeout=1")]

        self._set_data_centre(data_centres)
        with self.network.as_instance(0):
            names = [f"t{number}" for number in range(targets)]
            stand_ins = [TargetStandIn(name, script or run) for name in names]
            await self.start(*stand_ins, document=document)
        self.network.ports = {int(t.address.rpartition(":")[2]) for t in self.targets}
        for number in range(1, instances):
            self._set_data_centre(data_centres)
            with self.network.as_instance(number):
                await self.add_instance()
        async with asyncio.timeout(BOUND_S):
            while not all(map(self._knows_all_relays, self.instances)):
                await asyncio.sleep(0.02)

    def _set_data_centre(self, data_centres):
        """Set the data centre of the next instance."""
        for name in itertools.islice(data_centres, 1):
            self.settings = {**self.settings, "data_centre": name}

    def _knows_all_relays(self, instance):
        relays = [m for m in instance.view.members.values() if m.accepts_tunnels]
        return len(relays) == len(self.instances)

    async def call_in_time(self, instance, path="/once/", **fields):
        """Return the status of a request; 0 if the caller gives up."""
        deadline = {"X-Request-Deadline-Ms": str(int(DEADLINE_S * 1000))}
        with contextlib.suppress(Exception):
            async with asyncio.timeout(DEADLINE_S):
                status, *_ = await self.call(
                    path, instance=instance, **deadline, **fields
                )
                return status
        return 0

    async def load(self, seconds, per_s=40.0, path="/once/", seed=7):
        """Call the instances at random; return (instance, status) of each request."""
        rng, tasks = random.Random(seed), []
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds

        async def call(instance):
            fields = {"events": "3"} if path == "/stream/" else {}
            return instance, await self.call_in_time(instance, path, **fields)

        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(per_s))
            number = rng.randrange(len(self.instances))
            tasks.append(asyncio.create_task(call(number)))
        return await asyncio.gather(*tasks)


def count_served(results, instances):
    """Return how many requests at these instances were served, and how many sent."""
    statuses = [status for number, status in results if number in instances]
    return statuses.count(200), len(statuses)
