"""Three of five front processes are killed at one moment while two versions serve."""

import asyncio
import contextlib
import re
import signal
import sys

from world import ROOT, Worker, World, configuration, read_answer, request, run_case

sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]
from hibiscusstep.membership.view import rendezvous_hash  # noqa: E402

FRONTS, KILLED = 5, 3
STREAMS, NEW_STREAMS = 45, 30
EVENTS, EVENT_S = 30, 0.1
KILL_AFTER_S, RESTART_AFTER_S = 2.0, 2.0


class StreamWorker(Worker):
    """Writes each event with the version of its software; goes on where it is asked."""

    async def work(self, method, target, fields, body, writer):
        name = fields.get("x-request-id", "")
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {name}",
            f"X-Response-Seal: seal.{self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        after = int(fields.get("last-event-id") or 0)
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {self.version} {number}/{EVENTS}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


def fields_of(number):
    return [
        ("X-Model", "m"),
        ("X-Token-Usage", "200,180"),
        ("X-Prompt-Prefix", f"5c1e07a2:60,{number:08x}:140"),
        ("X-Request-Deadline-Ms", "12000"),
    ]


async def attempt(front, name, fields):
    """Return the status, the events with their versions, and completeness."""
    host, _, port = front.front.rpartition(":")
    try:
        async with asyncio.timeout(12.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request("POST", "/ask/a", name, fields=fields))
                status, _head, body, complete = await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, [], False
    events = re.findall(rb"id: (\d+)\ndata: (\S+) ", body)
    return status, [(int(at), version.decode()) for at, version in events], complete


async def main(record, trouble):
    world = World(record, FRONTS)
    workers = [
        StreamWorker(f"i-llm{n}", "llm", record, version=f"v{n % 2 + 1}", slots=24)
        for n in range(6)
    ]
    workers += [Worker("i-api1", "api", record)]
    # The process that dispatches the service, and the two that would be next.
    names = [front.name for front in world.fronts]
    weights = dict.fromkeys(names, 107)
    victims = rendezvous_hash(names, "pool llm", KILLED, weights)
    survivors = [front for front in world.fronts if front.name not in victims]
    taken_up, new = [], []

    async def stream(number):
        """A client with one retry, as on the sheets."""
        front, name = world.fronts[number % FRONTS], f"s-{number}"
        status, events, complete = await attempt(front, name, fields_of(number))
        record(f"client {name} at {front.name} -> {status} {len(events)} events")
        if complete or not events:
            return
        again = survivors[number % len(survivors)]
        last, version = events[-1]
        more = [("Last-Event-Id", str(last)), ("Resumes", name)]
        status, rest, _complete = await attempt(
            again, f"{name}-again", [*fields_of(number), *more]
        )
        taken_up.append(status == 200 and bool(rest))
        record(f"client {name}-again at {again.name} after {last} of {version}"
               f" -> {status} {len(rest)} events")  # fmt: skip

    async def begin(number):
        await asyncio.sleep(KILL_AFTER_S + 0.05 * number)
        front, name = survivors[number % len(survivors)], f"n-{number}"
        status, events, _complete = await attempt(front, name, fields_of(1000 + number))
        new.append(status == 200 and bool(events))
        record(f"client {name} at {front.name} -> {status} {len(events)} events")

    async def kill():
        await asyncio.sleep(KILL_AFTER_S)
        killed = [front for front in world.fronts if front.name in victims]
        if trouble:
            for front in killed:
                front.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_AFTER_S)
            for front in killed:
                front.process.wait()
                front.start()

    tasks = []
    try:
        # On the sheet the store takes 4 ms an answer.
        world.store.fault = lambda method, path: 0.004
        await world.start(configuration(), workers)
        await asyncio.sleep(6.0)
        work = [stream(n) for n in range(STREAMS)] + [begin(n) for n in range(NEW_STREAMS)]
        tasks = [asyncio.create_task(one) for one in (kill(), *work)]
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()
    share_new = sum(new) / len(new)
    summary = (
        f"{len(taken_up)} streams taken up again, {sum(taken_up)} go on;"
        f" {len(new)} new ones, {sum(new)} begin"
    )
    record(summary)
    print(summary)
    if len(taken_up) >= 12 and sum(taken_up) / len(taken_up) < share_new / 2:
        return [summary]
    return []


run_case(main)
