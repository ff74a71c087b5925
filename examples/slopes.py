"""examples.slopes: measures the cost of each role of an instance, for CAPACITY.md.

python examples/slopes.py membership|relays|dispatcher|claims|configuration|\
                              messages|process
"""

import asyncio
import gc
import json
import logging
import os
import subprocess
import sys
import time
import tracemalloc

import uvloop
from fleet import free_ports

from hibiscusstep import codec, peer
from hibiscusstep.claims.index import ClaimIndex, ClaimResult
from hibiscusstep.claims.records import ClaimHead, ClaimRecord
from hibiscusstep.claims.shard import PendingRequest, ShardWriter
from hibiscusstep.configuration.models import load_configuration
from hibiscusstep.configuration.settings import Settings
from hibiscusstep.configuration.stored import CONFIGURATION_KEY, StoredConfiguration
from hibiscusstep.instance import Instance
from hibiscusstep.log import decision, set_up_logging
from hibiscusstep.membership.hierarchical import HierarchicalMembership
from hibiscusstep.membership.mesh import MeshMembership, OwnStateChange
from hibiscusstep.peerlink import Authenticator, PeerLinks
from hibiscusstep.platform.settings import HEARTBEAT_INTERVAL_S, SUSPECT_AFTER_S
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.policy_dispatcher import PolicyDispatcher
from hibiscusstep.store import InstanceRecord
from hibiscusstep.stores.memory import MemoryPlatform


def print_row(*cells):
    """Print a row of a Markdown table."""
    print("| " + " | ".join(map(str, cells)) + " |", flush=True)


def print_header(*names):
    """Print the header of a Markdown table."""
    print_row(*names)
    print_row(*["---"] * len(names))


async def membership(counts=(3, 9, 30, 60, 100), seconds=6.0):
    """Measure bytes and processor time of the heartbeats of N members."""
    print_header(
        "members", "bytes/s sent a member", "processor us/s a member", "% of a core"
    )
    for count in counts:
        ports = free_ports(count)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        links, tasks = [], []
        for number, address in enumerate(addresses):
            link, membership = _member(number, address, addresses[:3])
            links.append(link)
            tasks += [
                asyncio.create_task(link.run()),
                asyncio.create_task(membership.run()),
            ]
            membership.tell(OwnStateChange(version=1, ready=True))
        await asyncio.sleep(4.0)
        sent, cpu = sum(link.bytes_sent for link in links), time.process_time()
        await asyncio.sleep(seconds)
        sent = sum(link.bytes_sent for link in links) - sent
        cpu = time.process_time() - cpu
        each = cpu / count / seconds
        print_row(
            count,
            round(sent / count / seconds),
            round(1e6 * each),
            round(100 * each, 3),
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def relays(counts=(9, 30, 60, 120), centres=3, seconds=6.0):
    """Measure bytes and processor time of a region with relays in one process."""
    print_header(
        "instances", "relays", "bytes/s, relay", "bytes/s, follower", "us/s each"
    )
    for count in counts:
        addresses = [f"127.0.0.1:{port}" for port in free_ports(count)]
        platform = MemoryPlatform()
        platform.instance_records = [
            InstanceRecord(f"n{number}", f"hall-{number % centres}", address)
            for number, address in enumerate(addresses)
        ]
        made = [
            _member(n, address, addresses[:3], platform, HierarchicalMembership)
            for n, address in enumerate(addresses)
        ]
        tasks = [asyncio.create_task(w.run()) for pair in made for w in pair]
        for _link, worker in made:
            worker.tell(OwnStateChange(version=1, ready=True))
        await asyncio.sleep(6.0)
        before, cpu = [link.bytes_sent for link, _ in made], time.process_time()
        await asyncio.sleep(seconds)
        cpu = time.process_time() - cpu
        sent = [link.bytes_sent - b for (link, _), b in zip(made, before, strict=True)]
        own = [worker.is_relay for _, worker in made]
        of_relays = [s for s, relay in zip(sent, own, strict=True) if relay]
        of_others = [s for s, relay in zip(sent, own, strict=True) if not relay]
        print_row(
            count,
            len(of_relays),
            round(sum(of_relays) / max(1, len(of_relays)) / seconds),
            round(sum(of_others) / max(1, len(of_others)) / seconds),
            round(1e6 * cpu / count / seconds),
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _member(number, address, seeds, platform=None, kind=MeshMembership):
    ports = (1, 2, address.rpartition(":")[2])
    settings = _settings(number, ports, seeds[0].rpartition(":")[2])
    if platform:
        settings = settings.model_copy(
            update={
                "name": platform.instance_records[number].name,
                "data_centre": platform.instance_records[number].data_centre,
                "heartbeat_interval": HEARTBEAT_INTERVAL_S,
                "suspect_after": SUSPECT_AFTER_S,
            }
        )
    holder = []
    link = PeerLinks(
        address, settings.peer_key, lambda message: holder[0].tell(message)
    )
    platform = platform or MemoryPlatform()
    worker = kind(settings, f"{number:012d}", link, platform, lambda _view: None)
    holder.append(worker)
    return link, worker


def pool_configuration(targets, customers=10):
    """Return a configuration with one pool."""
    data = {
        "tiers": {"high": {"rank": 0}, "mid": {"rank": 1}, "low": {"rank": 2}},
        "customers": {
            f"customer-{n}": {"key_hashes": [f"{n:064x}"], "tier": "high"}
            for n in range(customers)
        },
        "pools": {
            "pool": {
                "kind": "engine",
                "targets": {
                    f"target-{n}": {
                        "address": f"10.{n // 250}.{n % 250}.1:80",
                        "data_centre": "hall",
                        "max_running": 8,
                    }
                    for n in range(targets)
                },
            }
        },
    }
    return data


def _work(number, customers=10, prompt_tokens=40):
    tier = ("high", "mid", "low")[number % 3]
    return m.Work(
        f"{number}",
        f"request-{number}",
        "entry",
        f"customer-{number % customers}",
        tier,
        number % 3,
        prompt_tokens,
        20,
        1e6 + number,
        float(number) / 1e4,
        tier == "low",
    )


def dispatcher():
    """Measure the cost of a request by the number of targets and of waiting requests.

    A request has an ask, a grant, a first token and an end.
    """
    print_header(
        "targets", "customers", "waiting", "us a request", "bytes a waiting request"
    )
    points = [(10, 10, 0), (100, 10, 0), (1000, 10, 0)]
    points += [(10, 10, 100), (10, 10, 1000), (10, 10, 10_000)]
    points += [(100, 390, 1000), (100, 390, 10_000)]
    for targets, customers, waiting in points:
        data = pool_configuration(targets, customers)
        data["pools"]["pool"]["max_waiting"] = 100_000
        for customer in data["customers"].values():
            customer["max_waiting"] = 100_000
        configuration = load_configuration({"a.json": json.dumps(data)})[0]
        state = PolicyDispatcher("pool", configuration)
        state.handle(m.Recovered(), 0.0)
        places = targets * 8
        running = []
        for number in range(places):
            (grant,) = state.handle(m.RequestGrant(_work(number, customers)), 1.0)
            running.append(grant.work.ask)
        gc.collect()
        tracemalloc.start()
        for number in range(places, places + waiting):
            state.handle(m.RequestGrant(_work(number, customers)), 1.0)
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rounds = 400
        started = time.process_time()
        for number in range(places + waiting, places + waiting + rounds):
            state.handle(m.RequestGrant(_work(number, customers)), 2.0)
            done = running.pop(0)
            state.handle(m.FirstToken(done, 0.1), 2.0)
            for taken in state.handle(
                m.Finished(done, m.GrantOutcome.DONE, 20, 0.5, 40), 2.0
            ):
                running.append(taken.work.ask)
        spent = time.process_time() - started
        each = round(held / waiting) if waiting else "-"
        print_row(targets, customers, waiting, round(1e6 * spent / rounds, 1), each)


async def claims(rates=(10, 20, 100, 400, 1000), seconds=5.0):
    """Measure the number and size of the writes of one shard by claims per second."""
    print_header(
        "claims/s", "writes/s", "claims a write", "p50 ms", "p95 ms", "cpu us a claim"
    )
    for rate in rates:
        platform = MemoryPlatform()
        platform.faults.delay = 0.005
        writer = ShardWriter(0, platform, 86_400, 0.1)
        task = asyncio.create_task(writer.run())
        loop = asyncio.get_running_loop()
        waits = []
        cpu, started = time.process_time(), loop.time()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + number / rate - loop.time()))
            _claim(writer, number, loop.time(), waits)
        await asyncio.sleep(0.5)
        cpu = time.process_time() - cpu
        spent = loop.time() - started
        waits.sort()
        print_row(
            rate,
            round(writer.writes / spent, 1),
            round(writer.claims_written / writer.writes, 1),
            round(1e3 * waits[len(waits) // 2], 1),
            round(1e3 * waits[int(0.95 * len(waits))], 1),
            round(1e6 * cpu / len(waits)),
        )
        task.cancel()
    _claim_memory()


def _record(number):
    digest = number.to_bytes(16, "big")
    return ClaimRecord(
        digest,
        digest[:8],
        "entry-guro",
        "0123456789ab",
        f"entry-guro-{number:032x}",
        1,
        False,
        number,
    )


def _claim(writer, number, asked, waits):
    loop = asyncio.get_running_loop()

    def reply(verdict):
        assert verdict.result is ClaimResult.CONFIRMED
        waits.append(loop.time() - asked)

    writer.add(PendingRequest(_record(number), "", False, asked + 60, reply))


def _claim_memory():
    print()
    print_header(
        "claims", "bytes each in memory", "bytes each stored", "us each to read back"
    )
    for count in (1000, 10_000, 100_000):
        encoded = codec.encode(ClaimHead([], [_record(n) for n in range(count)], "b"))
        gc.collect()
        tracemalloc.start()
        index = ClaimIndex(86_400)
        index.apply_head(codec.decode(ClaimHead, encoded), 1)
        index.head = ClaimHead()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.process_time()
        codec.decode(ClaimHead, encoded)
        spent = time.process_time() - started
        print_row(
            count,
            round(held / count),
            round(len(encoded) / count),
            round(1e6 * spent / count, 1),
        )


def configuration():
    """Measure the size of the configuration object and the time to validate it."""
    print_header(
        "customers", "targets", "files", "bytes", "ms at first", "ms after a change"
    )
    for customers, targets in ((5, 50), (100, 300), (390, 1100)):
        files = _small_files(pool_configuration(targets, customers))
        started = time.process_time()
        StoredConfiguration(files=files).load()
        first = time.process_time() - started
        name = next(iter(files))
        changed = StoredConfiguration(
            files={**files, name: files[name] + " // changed"}
        )
        started = time.process_time()
        changed.load()
        again = time.process_time() - started
        size = len(changed.to_bytes())
        times = (round(1e3 * first), round(1e3 * again, 1))
        print_row(customers, targets, len(files), size, *times)


def _small_files(data, each=10):
    """Split customers and targets into files with `each` entries."""
    files = {"00.json": json.dumps({"tiers": data["tiers"]})}
    customers = list(data["customers"].items())
    for start in range(0, len(customers), each):
        part = {"customers": dict(customers[start : start + each])}
        files[f"10-{start:04d}.json"] = json.dumps(part, indent=1)
    targets = list(data["pools"]["pool"]["targets"].items())
    for start in range(0, len(targets), each):
        pool = {"kind": "engine", "targets": dict(targets[start : start + each])}
        files[f"20-{start:04d}.json"] = json.dumps({"pools": {"pool": pool}}, indent=1)
    return files


async def spread(counts=(3, 9, 18, 30), changes=5):
    """Measure the seconds until a change is in force on N complete instances."""
    print_header("instances", "median s", "most s", "calls on the platform a change")
    for count in counts:
        platform = MemoryPlatform()
        data = pool_configuration(9)
        version = await _put(platform, data, 0)
        ports = free_ports(3 * count)
        instances = [
            Instance(_settings(n, ports[3 * n : 3 * n + 3], ports[2]), platform)
            for n in range(count)
        ]
        tasks = [asyncio.create_task(instance.run()) for instance in instances]
        await _wait_in_force(instances, version)
        await asyncio.sleep(3.0)
        seconds, calls = [], sum(platform.calls.values())
        for number in range(changes):
            data["tiers"]["low"]["rank"] = 10 + number
            started = time.monotonic()
            version = await _put(platform, data, version)
            await _wait_in_force(instances, version)
            seconds.append(time.monotonic() - started)
        calls = (sum(platform.calls.values()) - calls) / changes
        seconds.sort()
        print_row(count, round(seconds[changes // 2], 2), round(seconds[-1], 2), calls)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _put(platform, data, version):
    value = StoredConfiguration(files={"a.json": json.dumps(data)}).to_bytes()
    return (await platform.put(CONFIGURATION_KEY, value, version)).unwrap()


async def _wait_in_force(instances, version):
    while any(instance.in_force.version != version for instance in instances):
        await asyncio.sleep(0.01)


def _settings(number, ports, seed):
    caller, operator, own = (f"127.0.0.1:{port}" for port in ports)
    return Settings(
        name=f"entry-{number}",
        data_centre="hall",
        caller_address=caller,
        operator_address=operator,
        peer_address=own,
        platform="",
        peer_key="a-key-for-measuring",
        operator_key="a-key-for-measuring",
        seeds=[f"127.0.0.1:{seed}"],
    )


def messages(rounds=5000):
    """Measure the size of peer messages and the time to write and read them."""
    info = peer.WorkInfo(
        "0123456789ab.1234",
        "entry-guro-0123456789abcdef0123456789abcdef",
        "entry-guro",
        "guro-animation",
        "desk",
        0,
        40,
        20,
        2.0,
        0.0,
        False,
        [1 << 60] * 5,
        [],
    )
    ask = info.ask
    samples = {
        "Beat": peer.Beat("0123456789ab", 7),
        "PoolAsk": peer.PoolAsk("hibiscus-pool", info),
        "PoolGrant": peer.PoolGrant("hibiscus-pool", ask, "worker-1", 0.01),
        "PoolFirstToken": peer.PoolFirstToken("hibiscus-pool", ask, 0.1),
        "PoolFinished": peer.PoolFinished("hibiscus-pool", ask, "done", 20, 0.5, 40),
        "ClaimAsk": peer.ClaimAsk(
            ask, 3, b"d" * 16, b"b" * 8, "entry-guro", ask, info.request, "", False
        ),
    }
    writer, reader = Authenticator("k", b"n"), Authenticator("k", b"n")
    print_header("message", "bytes framed", "us to write", "us to read")
    for name, message in samples.items():
        started = time.process_time()
        frames = [writer.frame(b"\0" + codec.encode(message)) for _ in range(rounds)]
        wrote = time.process_time() - started
        started = time.process_time()
        for frame in frames:
            body = frame[20:]
            reader.tag(body)
            codec.decode(type(message), body[1:])
        read = time.process_time() - started
        times = (round(1e6 * spent / rounds, 1) for spent in (wrote, read))
        print_row(name, len(frames[0]), *times)


def logs(rounds=5000):
    """Measure the time to log a decision as JSON."""
    set_up_logging("json", "INFO", "entry-guro")
    logging.getLogger().handlers[0].setStream(open(os.devnull, "w"))
    candidates = {f"worker-{number}": 0.123 for number in range(8)}
    started = time.process_time()
    for _ in range(rounds):
        decision(
            "grant",
            request="entry-guro-0123456789abcdef0123456789abcdef",
            customer="guro-animation",
            tier="desk",
            pool="hibiscus-pool",
            wait=0.01,
            target="worker-1",
            candidates=candidates,
        )
    spent = time.process_time() - started
    print(f"{1e6 * spent / rounds:.1f} us a line")


def process():
    """Measure the resident memory of a process by its imports."""
    print_header("process", "MB resident")
    code = "print(int(open('/proc/self/statm').read().split()[1]) * 4096 / 1e6)"
    libraries = "aiohttp, uvloop, pydantic, json5, orjson, thriftpy2, aioprometheus"
    for name, first in (
        ("interpreter", ""),
        ("with the libraries", f"import {libraries}, click, result, xxhash;"),
        ("with the entry program", "import hibiscusstep.cmdline.entry;"),
    ):
        done = subprocess.run(
            [sys.executable, "-c", first + code], capture_output=True, text=True
        )
        print_row(name, round(float(done.stdout), 1))


if __name__ == "__main__":
    chosen = globals()[sys.argv[1]]
    if asyncio.iscoroutinefunction(chosen):
        uvloop.run(chosen())
    else:
        chosen()
