"""Stand-in of a worker: runs requests, streams events, registers itself in the store.

Usage: worker.py JSON, with the keys id, service, address, zone, version, slots, store,
heartbeat_ms, stride, event_ms and record (a file, one JSON line for each thing seen);
crash_body may be the body of a request that crashes the worker with its first event.

It follows the pages: it echoes X-Request-Id, signs with X-Response-Seal, answers 421 to
a request for another worker, goes on behind Last-Event-Id, stops at the deadline that it
receives, drops a request whose connection closes, and takes `slots` requests at once.
A stream has one event for each `stride` output tokens, one each `event_ms`; a request
without X-Token-Usage is answered as a whole after `event_ms`.
"""

import asyncio
import contextlib
import json
import os
import sys
import time

from http1 import call, chunk, read_request, response

QUEUE = 48


class Worker:
    """One worker."""

    def __init__(self, settings):
        self.s = settings
        self.slots = asyncio.Semaphore(settings["slots"])
        self.running = self.waiting = 0
        self.runs = 0
        self.record_file = open(settings["record"], "a", buffering=1)

    def record(self, what, **more):
        entry = {"at": round(time.time(), 4), "what": what, "worker": self.s["id"]}
        entry |= {"version": self.s["version"], **more}
        self.record_file.write(json.dumps(entry) + "\n")

    async def register(self):
        """Write the own entry at the interval of the heartbeats."""
        s = self.s
        spec = {
            "Service": s["service"],
            "Address": s["address"],
            "Zone": s["zone"],
            "Version": s["version"],
            "Slots": s["slots"],
            "State": "ready",
            "ColdLeftMs": 0,
            "Stage": "unified",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
        body = json.dumps({"Metadata": {"Name": s["id"]}, "Spec": spec}).encode()
        root = "/hibiscusstep/objects/servers"
        while True:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                status, _ = await call(s["store"], "PUT", f"{root}/{s['id']}", body)
                if status == 404:
                    await call(s["store"], "POST", root, body)
            await asyncio.sleep(s["heartbeat_ms"] / 1000)

    def fields(self, request):
        load = f"{self.running},{self.waiting},{self.s['slots']}"
        return [
            ("X-Request-Id", request.fields.get("x-request-id", "")),
            ("X-Server-Load", load),
            ("Keep-Alive", "timeout=5"),
        ]

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, reader, writer):
                    return
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, request, reader, writer):
        fields = self.fields(request)
        name = request.fields.get("x-request-id", "")
        if request.path == "/health":
            writer.write(response(200, fields=[("X-Instance-Id", self.s["id"])]))
            return True
        expected = request.fields.get("x-target-instance", self.s["id"])
        if expected != self.s["id"]:
            self.record("misdirected", request=name)
            writer.write(response(421, fields=fields))
            return True
        if self.waiting >= QUEUE:
            writer.write(response(503, fields=[*fields, ("X-Not-Executed", "1")]))
            return True
        deadline_ms = float(request.fields.get("x-request-deadline-ms", 30_000))
        deadline = time.monotonic() + deadline_ms / 1000
        left = asyncio.create_task(self.wait_left(reader))
        work = asyncio.create_task(self.work(request, name, fields, deadline, writer))
        done, _ = await asyncio.wait({left, work}, return_when=asyncio.FIRST_COMPLETED)
        if work in done:
            left.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await left
            return await work
        work.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await work
        return False

    async def wait_left(self, reader):
        while not (reader.at_eof() or reader.exception()):
            await asyncio.sleep(0.02)

    async def work(self, request, name, fields, deadline, writer):
        self.waiting += 1
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline - time.monotonic()
            ):
                await self.slots.acquire()
        except TimeoutError:
            writer.write(response(503, fields=[*fields, ("X-Not-Executed", "1")]))
            return True
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs += 1
        run = f"{self.s['id']}-{self.runs}"
        usage = request.fields.get("x-token-usage", "")
        tokens = sum(int(part) for part in usage.split(",")) if usage else 0
        self.record(
            "runs",
            request=name,
            run=run,
            tokens=tokens,
            tenant=request.fields.get("x-tenant", ""),
            after=request.fields.get("last-event-id", ""),
        )
        ended = "left"
        try:
            if usage:
                ended = await self.stream(request, run, fields, deadline, writer)
            else:
                await asyncio.sleep(self.s["event_ms"] / 1000)
                body = json.dumps({"run": run, "version": self.s["version"]}).encode()
                seal = [("X-Response-Seal", f"{run}.{name}")]
                writer.write(response(200, body, [*fields, *seal]))
                ended = "whole"
            await writer.drain()
        finally:
            self.running -= 1
            self.slots.release()
            self.record("ends", request=name, run=run, how=ended)
        return ended == "whole"

    async def stream(self, request, run, fields, deadline, writer):
        name = request.fields.get("x-request-id", "")
        output = int(request.fields["x-token-usage"].split(",")[1])
        events = max(1, -(-output // self.s["stride"]))
        first = int(request.fields.get("last-event-id") or 0) + 1
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Response-Seal: {run}.{name}",
            "X-Weight-Versions: 1",
            *(f"{key}: {value}" for key, value in fields),
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
        for number in range(first, events + 1):
            await asyncio.sleep(self.s["event_ms"] / 1000)
            if time.monotonic() > deadline:
                writer.transport.abort()
                return "deadline"
            data = {"run": run, "version": self.s["version"], "of": events}
            text = f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()
            writer.write(chunk(text))
            await writer.drain()
            if request.body == self.s.get("crash_body", "").encode() != b"":
                await asyncio.sleep(0.005)  # The event leaves the machine.
                self.record("crashes", request=name, run=run)
                os._exit(1)
        writer.write(chunk(b""))
        return "whole"


async def main():
    worker = Worker(json.loads(sys.argv[1]))
    host, _, port = worker.s["address"].rpartition(":")
    server = await asyncio.start_server(worker.serve, host, int(port), backlog=512)
    asyncio.create_task(worker.register())
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
