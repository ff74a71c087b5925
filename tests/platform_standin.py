"""Stand-ins of the users' platform: the metadata store and targets, by its pages."""

import asyncio
import contextlib
import copy
import itertools
import json
import socket
import struct

import orjson
from aiohttp import web
from fleet import free_ports

ROOT = "/hibiscusstep/objects"


def free_port() -> int:
    """Return a port that only this process takes."""
    return free_ports(1)[0]


class StoreStandIn:
    """The metadata store: list, watch, create, replace; with faults.

    Attributes
    ----------
    down : bool
        Every call is refused with 503.
    refused : set of str
        Kinds whose calls are refused.
    calls : list of str
        Method and path of each call.
    spoil : tuple of bytes or None
        Bytes of answers that are replaced, and by what.
    era : str or None
        Rises by one with each restore from a copy; in a field of all answers.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, bool, dict]] = []
        self.oldest = 0
        self.down = False
        self.refused: set[str] = set()
        self.calls: list[str] = []
        self.spoil: tuple[bytes, bytes] | None = None
        self.era: str | None = "1"
        self._changed = asyncio.Event()
        self._stopped = False
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.on_response_prepare.append(self._tell_era)
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
        """Return where it listens, for a proxy before it."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    async def stop(self) -> None:
        """End."""
        self._stopped = True
        self._wake()
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
        self._note(kind, False, item)

    def order(self, pool: str, version: str, seconds: float) -> None:
        """Write an operator's order; the status of an earlier one stays."""
        known = self.objects.get(("rollouts", pool))
        spec = {"Service": pool, "To": version, "DurationS": seconds}
        self.put("rollouts", pool, spec)
        if known:
            self.objects["rollouts", pool]["Status"] = known["Status"]

    def status(self, pool: str) -> dict:
        """Return the status of a pool's order; empty if there is none."""
        return self.objects.get(("rollouts", pool), {}).get("Status") or {}

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._note(kind, True, item)

    def lapse(self, kind: str, name: str) -> dict:
        """Remove an object without an event, as during an outage."""
        self.revision += 1
        return self.objects.pop((kind, name))

    async def _tell_era(self, _request, response) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = self.era

    def copy(self) -> tuple[int, dict]:
        """Return a copy of all objects, with its revision."""
        return self.revision, copy.deepcopy(self.objects)

    def restore(self, kept: tuple[int, dict]) -> None:
        """Come back from a copy: what was written since is gone, as are watches."""
        self.revision, self.objects = kept[0], copy.deepcopy(kept[1])
        self.history = [entry for entry in self.history if entry[0] <= self.revision]
        self.era = str(int(self.era) + 1)
        self._wake()

    def forget_history(self) -> None:
        """Drop the history; watches from before get 410."""
        self.history = []
        self.oldest = self.revision
        self._wake()

    def _note(self, kind: str, removed: bool, item: dict) -> None:
        self.history.append((self.revision, kind, removed, item))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _refuses(self, request) -> bool:
        self.calls.append(f"{request.method} {request.path_qs}")
        return self.down or request.match_info["kind"] in self.refused

    async def _get(self, request) -> web.Response:
        if self._refuses(request):
            return web.Response(status=503)
        kind = request.match_info["kind"]
        if "Watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("After", "")
        found = sorted(n for k, n in self.objects if k == kind and n > after)
        page = found[:2]
        return self._tell(
            {
                "Items": [self.objects[kind, name] for name in page],
                "HasMore": len(found) > len(page),
                "At": self.revision,
            }
        )

    async def _get_one(self, request) -> web.Response:
        if self._refuses(request):
            return web.Response(status=503)
        found = self.objects.get(
            (request.match_info["kind"], request.match_info["name"])
        )
        return _json(found) if found else web.Response(status=404)

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
                        return self._tell({"events": events, "At": self.revision})
                    await self._changed.wait()
        return self._tell({"events": [], "At": self.revision})

    def _tell(self, body: dict) -> web.Response:
        """Return an answer; a NaN stands in it as some writers spell it."""
        text = json.dumps(body, separators=(",", ":")).encode()
        if self.spoil:
            text = text.replace(*self.spoil)
        return web.Response(body=text, content_type="application/json")

    def _events(self, kind: str, since: int) -> list[dict]:
        return [
            {"Removed": removed, "Object": item}
            for revision, of, removed, item in self.history
            if of == kind and revision > since
        ]

    async def _create(self, request) -> web.Response:
        if self._refuses(request):
            return web.Response(status=503)
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], body["Metadata"]["Name"]
        if (kind, name) in self.objects:
            return _json(self.objects[kind, name], 409)
        self.put(kind, name, body["Spec"])
        return _json(self.objects[kind, name])

    async def _replace(self, request) -> web.Response:
        if self._refuses(request):
            return web.Response(status=503)
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], request.match_info["name"]
        if (kind, name) not in self.objects:
            return _json({}, 404)
        self.put(kind, name, body["Spec"])
        return _json(self.objects[kind, name])

    async def _replace_status(self, request) -> web.Response:
        if self._refuses(request):
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
        self._note(kind, False, item)
        return _json(item)


def _json(body: dict, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=orjson.dumps(body), content_type="application/json"
    )


class TargetStandIn:
    """A target: one raw reply a request, in order, as `script` says.

    Parameters
    ----------
    name : str
        Its id; a request for another one gets 421.
    script : callable of int, dict, bytes
        Gets the number of the request, its fields and its body; returns the bytes of
        the reply, or a list of them with pauses in seconds between. In the list
        "reset", "close", "crash" and "hang" stand for how a connection, or the whole
        target, ends.
    born : int
        Unix millisecond of its start; 0 where it does not tell.
    version : str
        Of its software.

    Attributes
    ----------
    silent : bool
        Nothing is answered any more and no connection closed, as behind a cut.
    """

    def __init__(
        self, name: str, script=None, born: int = 0, version: str = "v1"
    ) -> None:
        self.name = name
        self.born = born
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
        """Listen on a port, a free one if none is given."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    def crash(self) -> None:
        """End all connections at once and refuse new ones, until started again."""
        self.crashed.set()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def start_again(self, name: str) -> None:
        """Start under another id at the same address, with nothing known."""
        self.name = name
        self.crashed.clear()
        await self.start(int(self.address.rpartition(":")[2]))

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def entry(self, pool: str, state: str = "ready", slots: int = 4) -> dict:
        """Return what the target writes of itself."""
        return {
            "Service": pool,
            "Address": self.address,
            "Zone": "z1",
            "Version": self.version,
            "Slots": slots,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
            **({"born": self.born} if self.born else {}),
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
            return await self._fall_silent(reader)
        if fields.get("x-target-instance", self.name) != self.name:
            writer.write(answer(fields, status=421, sealed=False))
            return True
        self.requests.append(request)
        self.arrived.set()
        parts = self.script(next(self._numbers), fields, body)
        for part in [parts] if isinstance(parts, bytes) else parts:
            if self.silent:
                return await self._fall_silent(reader)
            if part == "reset":
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return False
            if part == "close":
                return False
            if part == "crash":
                self.crash()
                return False
            if part == "hang":
                return await self._fall_silent(reader)
            if isinstance(part, float):
                await asyncio.sleep(part)
            else:
                writer.write(part)
                await writer.drain()
        return True

    async def _fall_silent(self, reader) -> bool:
        """Answer no more on a connection, until the other side closes it."""
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
