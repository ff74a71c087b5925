"""hibiscusstep.standins.engine: model engine stand-in with chat completions."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field

import orjson
from aiohttp import web

from hibiscusstep.events import EventKind, NullRecorder
from hibiscusstep.standins.batching import Batch, EngineSpeed, Job

__all__ = ["EngineFaults", "make_engine_app"]

DEFAULT_OUTPUT_TOKENS = 32
ABANDON_DELAY_S = 3.0
END_MARK = b"data: [DONE]\n\n"


@dataclass
class EngineFaults:
    """Faults of an engine.

    Parameters
    ----------
    cut_after : int
        Number of events after which a stream is cut; 0 for never.
    cuts : int
        Number of streams to cut.
    leaving : bool
        Refuse new requests and report that the engine is leaving.
    dead : bool
        Abort every connection and all work.
    refuse_resume : bool
        Refuse to resume cut streams.
    """

    cut_after: int = 0
    cuts: int = 0
    leaving: bool = False
    dead: bool = False
    refuse_resume: bool = False


@dataclass(eq=False)
class _ActiveRequest:
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
        Speed of the engine.
    name : str
        Name of the engine in the history.
    report_lag : float
        Age in seconds of the load that ``GET /load`` returns.
    recorder : NullRecorder
        Receives an event for each request that the engine runs.
    """
    return _EngineService(speed, name, report_lag, recorder or NullRecorder()).app()


class _EngineService:
    def __init__(self, speed, name, report_lag, recorder) -> None:
        self._batch = Batch(speed)
        self._name = name
        self._recorder = recorder
        self._faults = EngineFaults()
        self._active: dict[str, _ActiveRequest] = {}
        self._job_added = asyncio.Event()
        self._counts: Counter = Counter()
        self._load_samples: deque[tuple[float, dict]] = deque()
        self._report_lag = report_lag

    def app(self) -> web.Application:
        app = web.Application(
            client_max_size=64 << 20, middlewares=[self._abort_if_dead]
        )
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._chat_completion),
                web.get("/v1/requests/{id}", self._resume),
                web.delete("/v1/requests/{id}", self._cancel),
                web.get("/load", self._load),
                web.get("/control", self._get_counts),
                web.post("/control", self._set_faults),
            ]
        )
        app.cleanup_ctx.append(self._background_tasks)
        return app

    @web.middleware
    async def _abort_if_dead(self, request: web.Request, handler) -> web.StreamResponse:
        if self._faults.dead and request.path != "/control":
            request.transport.abort()
            raise ConnectionResetError("dead")
        return await handler(request)

    async def _background_tasks(self, _app):
        tasks = [
            asyncio.create_task(self._run_batch()),
            asyncio.create_task(self._sample_load()),
        ]
        yield
        for task in tasks:
            task.cancel()

    async def _run_batch(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            if self._batch.idle:
                self._job_added.clear()
                await self._job_added.wait()
                due = loop.time()
            seconds, advanced = self._batch.step()
            due += seconds
            await asyncio.sleep(max(0.0, due - loop.time()))
            for job in advanced:
                active = self._active.get(job.request)
                if active:
                    active.changed.set()

    async def _sample_load(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._load_samples.append((loop.time(), self._current_load()))
            horizon = loop.time() - self._report_lag
            while len(self._load_samples) > 1 and self._load_samples[1][0] <= horizon:
                self._load_samples.popleft()
            await asyncio.sleep(0.1)

    def _current_load(self) -> dict:
        return {
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "leaving": self._faults.leaving,
        }

    async def _load(self, _request: web.Request) -> web.Response:
        report = (
            self._load_samples[0][1] if self._load_samples else self._current_load()
        )
        return web.json_response(report)

    async def _get_counts(self, _request: web.Request) -> web.Response:
        prefilled = self._batch.prefilled_total
        return web.json_response({**self._counts, "prefilled": prefilled})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            holder = self._faults if hasattr(self._faults, name) else self._batch.speed
            if not hasattr(holder, name):
                return web.Response(status=400, text=f"unknown control {name}")
            setattr(holder, name, value)
        if self._faults.dead:
            for active in list(self._active.values()):
                self._abort(active)
        return web.Response(status=204)

    async def _chat_completion(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        if self._faults.leaving:
            return web.Response(status=503, headers={"X-Leaving": "1"}, text="leaving")
        prompt = "\n".join(str(message["content"]) for message in body["messages"])
        tokens = int(body.get("max_tokens") or DEFAULT_OUTPUT_TOKENS)
        name = request.headers.get("X-Request-Id", f"local-{self._counts['received']}")
        job = Job(name, prompt, tokens)
        active = _ActiveRequest(job, body.get("model", ""))
        self._active[job.request] = active
        self._counts["received"] += 1
        self._recorder.record(
            EventKind.SERVED,
            request=name.partition(".")[0],
            attempt=name,
            key=request.headers.get("Idempotency-Key", ""),
            target=self._name,
        )
        self._batch.add(job)
        self._job_added.set()
        if body.get("stream"):
            return await self._stream(request, active, 0)
        return await self._answer_at_once(active)

    async def _answer_at_once(self, active: _ActiveRequest) -> web.Response:
        job = active.job
        try:
            while not job.finished:
                await self._wait_for_progress(active)
        except asyncio.CancelledError:
            self._abort(active)
            raise
        finally:
            self._active.pop(job.request, None)
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
                "model": active.model,
                "choices": [choice],
                "usage": _usage(job),
            }
        )

    async def _stream(
        self, request, active: _ActiveRequest, start: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        active.readers += 1
        try:
            await self._send_events(request, response, active, start)
        except (ConnectionError, asyncio.CancelledError):
            asyncio.get_running_loop().call_later(
                ABANDON_DELAY_S, self._abandon, active
            )
            raise
        finally:
            active.readers -= 1
        return response

    async def _send_events(
        self, request, response, active: _ActiveRequest, start: int
    ) -> None:
        job = active.job
        sent = start
        while True:
            while sent < job.produced:
                await response.write(_format_event(job, active.model, sent))
                sent += 1
                if self._consume_cut(sent - start):
                    request.transport.abort()
                    raise ConnectionResetError("cut")
            if job.finished:
                break
            await self._wait_for_progress(active)
        await response.write(_format_last_event(job, active.model) + END_MARK)
        await response.write_eof()
        self._active.pop(job.request, None)

    async def _wait_for_progress(self, active: _ActiveRequest) -> None:
        await active.changed.wait()
        active.changed.clear()
        if active.job.cancelled:
            raise ConnectionResetError("cancelled")

    def _consume_cut(self, sent: int) -> bool:
        faults = self._faults
        if not faults.cut_after or faults.cuts <= 0 or sent < faults.cut_after:
            return False
        faults.cuts -= 1
        return True

    def _abandon(self, active: _ActiveRequest) -> None:
        if not active.readers:
            self._abort(active)

    def _abort(self, active: _ActiveRequest) -> None:
        if not active.job.cancelled and not active.job.finished:
            self._counts["aborted"] += 1
            self._counts["aborted_prefill"] += active.job.prefilled
        active.job.cancelled = True
        active.changed.set()
        self._active.pop(active.job.request, None)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        active = self._active.get(request.match_info["id"])
        if active is None or self._faults.refuse_resume:
            return web.Response(status=404)
        self._counts["resumed"] += 1
        return await self._stream(request, active, int(request.query.get("after", 0)))

    async def _cancel(self, request: web.Request) -> web.Response:
        active = self._active.get(request.match_info["id"])
        if active is None:
            return web.Response(status=404)
        self._counts["cancelled"] += 1
        self._abort(active)
        return web.Response(status=204)


def _format_event(job: Job, model: str, number: int) -> bytes:
    return (
        b'data: {"id":"%s","object":"chat.completion.chunk","model":"%s","choices"'
        % (
            job.request.encode(),
            model.encode(),
        )
        + b':[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}\n\n'
        % (job.token(number).encode())
    )


def _format_last_event(job: Job, model: str) -> bytes:
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
