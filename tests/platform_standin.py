"""Stand-ins for the users' platform: the metadata store and targets."""

import asyncio
import contextlib
import copy
import itertools
import json
from collections.abc import Callable

import orjson
from aiohttp import web
from fleet import free_ports

from hibiscusstep.sockets import reset

ROOT = "/hibiscusstep/objects"


def free_port() -> int:
    """Return a free port from the block reserved for this process."""
    return free_ports(1)[0]


class StoreStandIn:
    """Metadata store with list, watch, create and replace, and with faults.

    Attributes
    ----------
    down : bool
        Whether every call is answered with 503.
    refused : set of str
        Kinds of objects for which every call is answered with 503.
    calls : list of str
        Method and path of each call.
    answer_replacement : tuple of bytes or None
        Bytes to replace in answers, and their replacement.
    whole_answer : bytes or None
        Answer of each list, each watch and each read of an object.
    page_size : int
        Objects on a page of a list.
    on_list : callable or None
        Called with the query of each page of a list before it is answered.
    era : str or None
        Value of the Store-Era field of all answers; each restore increments it.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, bool, dict]] = []
        self.oldest = 0
        self.down = False
        self.refused: set[str] = set()
        self.calls: list[str] = []
        self.answer_replacement: tuple[bytes, bytes] | None = None
        self.era: str | None = "1"
        self.whole_answer: bytes | None = None
        self.page_size = 2
        self.on_list: Callable | None = None
        self._changed = asyncio.Event()
        self._stopped = False
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era_field)
        app.router.add_get(ROOT + "/{kind}", self._get)
        app.router.add_get(ROOT + "/{kind}/{name}", self._get_one)
        app.router.add_post(ROOT + "/{kind}", self._create)
        app.router.add_put(ROOT + "/{kind}/{name}", self._replace)
        app.router.add_put(ROOT + "/{kind}/{name}/status", self._replace_status)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def host_and_port(self) -> tuple[str, int]:
        """Return the host and port of the listener, for a proxy."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    async def stop(self) -> None:
        """Stop the server."""
        self._stopped = True
        self._notify_watchers()
        await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Write an object."""
        self.revision += 1
        item = {
            "Metadata": {"Name": name, "Revision": self.revision, "Created": 1},
            "Spec": spec,
            "Status": None,
        }
        self.objects[kind, name] = item
        self._append_event(kind, False, item)

    def order_rollout(self, pool: str, version: str, seconds: float) -> None:
        """Write an operator's rollout order; keeps the status of an earlier one."""
        known = self.objects.get(("rollouts", pool))
        spec = {"Service": pool, "To": version, "DurationS": seconds}
        self.put("rollouts", pool, spec)
        if known:
            self.objects["rollouts", pool]["Status"] = known["Status"]

    def rollout_status(self, pool: str) -> dict:
        """Return the status of a pool's rollout order; empty if there is none."""
        return self.objects.get(("rollouts", pool), {}).get("Status") or {}

    def end_rollout(self, pool: str, version: str, state: str) -> None:
        """Write the final status of a rollout order."""
        item = copy.deepcopy(self.objects["rollouts", pool])
        self.revision += 1
        item["Metadata"]["Revision"] = self.revision
        item["Status"] = {"State": state, "To": version}
        self.objects["rollouts", pool] = item
        self._append_event("rollouts", False, item)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._append_event(kind, True, item)

    def remove_without_event(self, kind: str, name: str) -> dict:
        """Remove an object without an event, as during an outage."""
        self.revision += 1
        return self.objects.pop((kind, name))

    async def _add_era_field(self, _request, response) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = self.era

    def copy(self) -> tuple[int, dict]:
        """Return the revision and a copy of all objects."""
        return self.revision, copy.deepcopy(self.objects)

    def restore(self, kept: tuple[int, dict]) -> None:
        """Restore a copy: later writes are lost, watches end and the era increases."""
        self.revision, self.objects = kept[0], copy.deepcopy(kept[1])
        self.history = [entry for entry in self.history if entry[0] <= self.revision]
        self.era = str(int(self.era) + 1)
        self._notify_watchers()

    def forget_history(self) -> None:
        """Drop the history; watches from earlier revisions get 410."""
        self.history = []
        self.oldest = self.revision
        self._notify_watchers()

    def _append_event(self, kind: str, removed: bool, item: dict) -> None:
        self.history.append((self.revision, kind, removed, item))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _is_refused(self, request) -> bool:
        self.calls.append(f"{request.method} {request.path_qs}")
        return self.down or request.match_info["kind"] in self.refused

    async def _get(self, request) -> web.Response:
        if self._is_refused(request):
            return web.Response(status=503)
        kind = request.match_info["kind"]
        if "Watch" in request.query:
            return await self._watch(request, kind)
        if self.on_list:
            self.on_list(request.query)
        after = request.query.get("After", "")
        found = sorted(n for k, n in self.objects if k == kind and n > after)
        page = found[: self.page_size]
        return self._answer(
            {
                "Items": [self.objects[kind, name] for name in page],
                "HasMore": len(found) > len(page),
                "At": self.revision,
            }
        )

    async def _get_one(self, request) -> web.Response:
        if self._is_refused(request):
            return web.Response(status=503)
        found = self.objects.get(
            (request.match_info["kind"], request.match_info["name"])
        )
        return self._answer(found) if found else web.Response(status=404)

    async def _watch(self, request, kind: str) -> web.Response:
        since = int(request.query["Watch"])
        seconds = int(request.query["WaitMs"]) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not self._stopped:
                    if not self.oldest <= since <= self.revision:
                        return web.Response(status=410)
                    events = self._events(kind, since)
                    if events:
                        return self._answer({"events": events, "At": self.revision})
                    await self._changed.wait()
        return self._answer({"events": [], "At": self.revision})

    def _answer(self, body: dict) -> web.Response:
        """Return an answer; NaN is written as a bare literal, as some writers do."""
        text = json.dumps(body, separators=(",", ":")).encode()
        if self.answer_replacement:
            text = text.replace(*self.answer_replacement)
        if self.whole_answer is not None:
            text = self.whole_answer
        return web.Response(body=text, content_type="application/json")

    def _events(self, kind: str, since: int) -> list[dict]:
        return [
            {"Removed": removed, "Object": item}
            for revision, of, removed, item in self.history
            if of == kind and revision > since
        ]

    async def _create(self, request) -> web.Response:
        if self._is_refused(request):
            return web.Response(status=503)
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], body["Metadata"]["Name"]
        if (kind, name) in self.objects:
            return _json(self.objects[kind, name], 409)
        self.put(kind, name, body["Spec"])
        return _json(self.objects[kind, name])

    async def _replace(self, request) -> web.Response:
        if self._is_refused(request):
            return web.Response(status=503)
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], request.match_info["name"]
        known = self.objects.get((kind, name))
        if known is None:
            return _json({}, 404)
        condition = body["Metadata"].get("Revision")
        if condition is not None and condition != known["Metadata"]["Revision"]:
            return _json(known, 409)
        self.put(kind, name, body["Spec"])
        return _json(self.objects[kind, name])

    async def _replace_status(self, request) -> web.Response:
        if self._is_refused(request):
            return web.Response(status=503)
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], request.match_info["name"]
        known = self.objects.get((kind, name))
        if known is None:
            return _json({}, 404)
        condition = body["Metadata"].get("Revision")
        if condition is not None and condition != known["Metadata"]["Revision"]:
            return _json(known, 409)
        self.revision += 1
        item = copy.deepcopy(known)
        item["Metadata"]["Revision"] = self.revision
        item["Status"] = body["Status"]
        self.objects[kind, name] = item
        self._append_event(kind, False, item)
        return _json(item)


def _json(body: dict, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=orjson.dumps(body), content_type="application/json"
    )


class TargetStandIn:
    """Target that answers each request with raw bytes from `script`, in order.

    Parameters
    ----------
    name : str
        Target id; a request for another id gets 421.
    script : callable of int, dict, bytes
        Called with the number of the request, its fields and its body. Returns the
        bytes of the reply, or a list of bytes and pauses in seconds. In the list,
        "reset", "close" and "hang" end the connection, "crash" ends the target.
    started_ms : int
        Start time in Unix milliseconds; 0 to omit it from the entry.
    version : str
        Software version.

    Attributes
    ----------
    silent : bool
        Whether to answer nothing and leave connections open, as in a network cut.
    """

    def __init__(
        self, name: str, script=None, started_ms: int = 0, version: str = "v1"
    ) -> None:
        self.name = name
        self.started_ms = started_ms
        self.version = version
        self.script = script or (lambda number, fields, body: answer(fields))
        self.requests: list[tuple[str, dict, bytes]] = []
        self.connections = 0
        self.open = 0
        self.closed = asyncio.Event()
        self.arrived = asyncio.Event()
        self.crashed = asyncio.Event()
        self.silent = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._numbers = itertools.count()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Listen on a port, by default a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    def crash(self) -> None:
        """Abort all connections and refuse new ones until restarted."""
        self.crashed.set()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def restart_as(self, name: str) -> None:
        """Restart with another id at the same address."""
        self.name = name
        self.crashed.clear()
        await self.start(int(self.address.rpartition(":")[2]))

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            reset(writer.transport)

    def entry(self, pool: str, state: str = "ready", slots: int = 4) -> dict:
        """Return the entry that the target writes about itself."""
        return {
            "Service": pool,
            "Address": self.address,
            "Zone": "z1",
            "Version": self.version,
            "Slots": slots,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
            **({"born": self.started_ms} if self.started_ms else {}),
        }

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self.open += 1
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                if not await self._reply(request, reader, writer):
                    return
        except (OSError, EOFError):
            pass
        finally:
            self.open -= 1
            self._writers.discard(writer)
            self.closed.set()
            writer.close()

    async def _reply(self, request, reader, writer) -> bool:
        line, fields, body = request
        if self.silent:
            return await self._hang(reader)
        if fields.get("x-target-instance", self.name) != self.name:
            writer.write(answer(fields, status=421, sealed=False))
            return True
        self.requests.append(request)
        self.arrived.set()
        parts = self.script(next(self._numbers), fields, body)
        for part in [parts] if isinstance(parts, bytes) else parts:
            if self.silent:
                return await self._hang(reader)
            if part == "reset":
                reset(writer.transport)
                return False
            if part == "close":
                return False
            if part == "crash":
                self.crash()
                return False
            if part == "hang":
                return await self._hang(reader)
            if isinstance(part, float):
                await asyncio.sleep(part)
            else:
                writer.write(part)
                await writer.drain()
        return True

    async def _hang(self, reader) -> bool:
        """Leave a connection unanswered until the client closes it."""
        await reader.read()
        return False


async def _read_request(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *rest = head.decode("latin-1").strip().split("\r\n")
    fields = {}
    for entry in rest:
        name, _, value = entry.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return line, fields, body


def answer(
    fields: dict,
    body: bytes = b"whole",
    *,
    status: int = 200,
    sealed: bool = True,
    framed: bool = True,
    not_run: bool = False,
    extra: str = "",
) -> bytes:
    """Return the bytes of an answer to a request with these fields."""
    lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {fields.get('x-request-id', '')}"]
    if sealed:
        lines.append("X-Response-Seal: s.e.a.l")
    if not_run or status == 421:
        lines.append("X-Not-Executed: 1")
    if framed:
        lines += [f"Content-Length: {len(body)}", "Keep-Alive: timeout=5"]
    else:
        lines.append("Connection: close")
    lines += [line for line in extra.split("\n") if line]
    return "\r\n".join([*lines, "", ""]).encode() + body


def stream_head(fields: dict) -> bytes:
    """Return the head of a chunked event stream."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Request-Id: {fields['x-request-id']}\r\nX-Response-Seal: seal-of-{{}}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body; an empty one ends it."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


def event(number: int) -> bytes:
    """Return a server-sent event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def configuration(version: int = 1, **changes) -> dict:
    """Return a configuration document with four routes and two customers."""
    route = {
        "Host": "h.example",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 1000,
        "Priority": 0,
        "MaxAttempts": 2,
        "Service": "pool-a",
    }
    document = {
        "Version": version,
        "Routes": [
            {**route, "Name": "safe", "PathPrefix": "/safe/", "Kind": "safe"},
            {**route, "Name": "once", "PathPrefix": "/once/", "Kind": "unsafe"},
            {
                **route,
                "Name": "resumable",
                "PathPrefix": "/resume/",
                "Kind": "streaming",
                "Resumable": True,
            },
            {
                **route,
                "Name": "stream",
                "PathPrefix": "/stream/",
                "Kind": "streaming",
                "Resumable": False,
            },
        ],
        "Services": [
            {"Name": "pool-a", "MaxConns": 100, "Engine": {"Stride": 6}},
            {"Name": "pool-b", "MaxConns": 100},
        ],
        "Limits": {"MaxBodyBytes": 65536, "IdleTimeoutMs": 15000},
        "Tenants": [
            {"Name": "one", "ApiKeys": ["key-one", "key-uno"], "Priority": 1},
            {
                "Name": "two",
                "ApiKeys": ["key-two"],
                "PlainTokens": 100,
                "RatePerS": 100,
                "Burst": 100,
            },
        ],
    }
    return {**document, **changes}
