"""hibiscusstep.standins.engine: a model engine with chat completions over HTTP."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field

import orjson
from aiohttp import web

from hibiscusstep.events import EventKind, NullRecorder
from hibiscusstep.standins.batching import Batch, EngineSpeed, Job

__all__ = ["EngineFaults", "make_engine_app"]

DEFAULT_OUTPUT_TOKENS = 32
LINGER_S = 3.0
END_MARK = b"data: [DONE]\n\n"


@dataclass
class EngineFaults:
    """What goes wrong.

    Parameters
    ----------
    cut_after : int
        Streams are cut after so many events; 0 is never.
    cuts : int
        How many streams are cut before it stops.
    leaving : bool
        Refuses new work and says so.
    dead : bool
        Breaks every connection off and works on nothing.
    refuse_resume : bool
        A cut stream cannot be resumed.
    """

    cut_after: int = 0
    cuts: int = 0
    leaving: bool = False
    dead: bool = False
    refuse_resume: bool = False


@dataclass(eq=False)
class _Live:
    job: Job
    model: str
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    readers: int = 0


def make_engine_app(
    speed: EngineSpeed,
    *,
    name: str = "engine",
    report_lag: float = 0.0,
    recorder: NullRecorder | None = None,
) -> web.Application:
    """Return the application.

    Parameters
    ----------
    speed : EngineSpeed
        How fast the engine is.
    name : str
        Its name in the history.
    report_lag : float
        Seconds by which ``GET /load`` lags behind.
    recorder : NullRecorder
        Gets an event for each request that the engine runs.
    """
    return _EngineService(speed, name, report_lag, recorder or NullRecorder()).app()


class _EngineService:
    def __init__(self, speed, name, report_lag, recorder) -> None:
        self._batch = Batch(speed)
        self._name = name
        self._recorder = recorder
        self._faults = EngineFaults()
        self._live: dict[str, _Live] = {}
        self._wake = asyncio.Event()
        self._counts: Counter = Counter()
        self._reports: deque[tuple[float, dict]] = deque()
        self._report_lag = report_lag

    def app(self) -> web.Application:
        app = web.Application(client_max_size=64 << 20, middlewares=[self._die])
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._complete),
                web.get("/v1/requests/{id}", self._resume),
                web.delete("/v1/requests/{id}", self._cancel),
                web.get("/load", self._load),
                web.get("/control", self._control_get),
                web.post("/control", self._control_set),
            ]
        )
        app.cleanup_ctx.append(self._loops)
        return app

    @web.middleware
    async def _die(self, request: web.Request, handler) -> web.StreamResponse:
        if self._faults.dead and request.path != "/control":
            request.transport.abort()
            raise ConnectionResetError("dead")
        return await handler(request)

    async def _loops(self, _app):
        tasks = [asyncio.create_task(self._run()), asyncio.create_task(self._sample())]
        yield
        for task in tasks:
            task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            if self._batch.idle:
                self._wake.clear()
                await self._wake.wait()
                due = loop.time()
            seconds, advanced = self._batch.step()
            due += seconds
            await asyncio.sleep(max(0.0, due - loop.time()))
            for job in advanced:
                live = self._live.get(job.request)
                if live:
                    live.changed.set()

    async def _sample(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._reports.append((loop.time(), self._current_load()))
            horizon = loop.time() - self._report_lag
            while len(self._reports) > 1 and self._reports[1][0] <= horizon:
                self._reports.popleft()
            await asyncio.sleep(0.1)

    def _current_load(self) -> dict:
        return {
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "leaving": self._faults.leaving,
        }

    async def _load(self, _request: web.Request) -> web.Response:
        report = self._reports[0][1] if self._reports else self._current_load()
        return web.json_response(report)

    async def _control_get(self, _request: web.Request) -> web.Response:
        prefilled = self._batch.prefilled_total
        return web.json_response({**self._counts, "prefilled": prefilled})

    async def _control_set(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            holder = self._faults if hasattr(self._faults, name) else self._batch.speed
            if not hasattr(holder, name):
                return web.Response(status=400, text=f"unknown control {name}")
            setattr(holder, name, value)
        if self._faults.dead:
            for live in list(self._live.values()):
                self._abort(live)
        return web.Response(status=204)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        if self._faults.leaving:
            return web.Response(status=503, headers={"X-Leaving": "1"}, text="leaving")
        prompt = "\n".join(str(message["content"]) for message in body["messages"])
        tokens = int(body.get("max_tokens") or DEFAULT_OUTPUT_TOKENS)
        name = request.headers.get("X-Request-Id", f"local-{self._counts['received']}")
        job = Job(name, prompt, tokens)
        live = _Live(job, body.get("model", ""))
        self._live[job.request] = live
        self._counts["received"] += 1
        self._recorder.record(
            EventKind.SERVED,
            request=name.partition(".")[0],
            attempt=name,
            key=request.headers.get("Idempotency-Key", ""),
            target=self._name,
        )
        self._batch.add(job)
        self._wake.set()
        if body.get("stream"):
            return await self._stream(request, live, 0)
        return await self._whole(live)

    async def _whole(self, live: _Live) -> web.Response:
        job = live.job
        try:
            while not job.finished:
                await self._progress(live)
        except asyncio.CancelledError:
            self._abort(live)
            raise
        finally:
            self._live.pop(job.request, None)
        text = "".join(job.token(number) for number in range(job.output_tokens))
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }
        return web.json_response(
            {
                "id": job.request,
                "object": "chat.completion",
                "model": live.model,
                "choices": [choice],
                "usage": _usage(job),
            }
        )

    async def _stream(self, request, live: _Live, start: int) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        live.readers += 1
        try:
            await self._send_events(request, response, live, start)
        except (ConnectionError, asyncio.CancelledError):
            asyncio.get_running_loop().call_later(LINGER_S, self._abandon, live)
            raise
        finally:
            live.readers -= 1
        return response

    async def _send_events(self, request, response, live: _Live, start: int) -> None:
        job = live.job
        sent = start
        while True:
            while sent < job.produced:
                await response.write(_event(job, live.model, sent))
                sent += 1
                if self._cut_now(sent - start):
                    request.transport.abort()
                    raise ConnectionResetError("cut")
            if job.finished:
                break
            await self._progress(live)
        await response.write(_last_event(job, live.model) + END_MARK)
        await response.write_eof()
        self._live.pop(job.request, None)

    async def _progress(self, live: _Live) -> None:
        await live.changed.wait()
        live.changed.clear()
        if live.job.cancelled:
            raise ConnectionResetError("cancelled")

    def _cut_now(self, sent: int) -> bool:
        faults = self._faults
        if not faults.cut_after or faults.cuts <= 0 or sent < faults.cut_after:
            return False
        faults.cuts -= 1
        return True

    def _abandon(self, live: _Live) -> None:
        if not live.readers:
            self._abort(live)

    def _abort(self, live: _Live) -> None:
        if not live.job.cancelled and not live.job.finished:
            self._counts["aborted"] += 1
            self._counts["aborted_prefill"] += live.job.prefilled
        live.job.cancelled = True
        live.changed.set()
        self._live.pop(live.job.request, None)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        live = self._live.get(request.match_info["id"])
        if live is None or self._faults.refuse_resume:
            return web.Response(status=404)
        self._counts["resumed"] += 1
        return await self._stream(request, live, int(request.query.get("after", 0)))

    async def _cancel(self, request: web.Request) -> web.Response:
        live = self._live.get(request.match_info["id"])
        if live is None:
            return web.Response(status=404)
        self._counts["cancelled"] += 1
        self._abort(live)
        return web.Response(status=204)


def _event(job: Job, model: str, number: int) -> bytes:
    return (
        b'data: {"id":"%s","object":"chat.completion.chunk","model":"%s","choices"'
        % (
            job.request.encode(),
            model.encode(),
        )
        + b':[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}\n\n'
        % (job.token(number).encode())
    )


def _last_event(job: Job, model: str) -> bytes:
    chunk = {
        "id": job.request,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": _usage(job),
    }
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


def _usage(job: Job) -> dict:
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.output_tokens,
        "prompt_tokens_computed": job.prefilled,
    }
