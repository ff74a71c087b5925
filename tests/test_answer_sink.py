import asyncio

import pytest
from aiohttp import web
from slow_peers import StalledCaller

from hibiscusstep.answer_sink import MAX_KEPT_BYTES, AnswerSink
from hibiscusstep.problem import Problem


def detached_sink(keep=True):
    sink = AnswerSink(None, "request", keep)
    sink.detached = True
    return sink


class TestSink:
    async def test_start_time_is_that_of_the_first_byte(self):
        sink = detached_sink()
        assert sink.started_at is None
        await sink.begin(200, "text/event-stream")
        started_at = sink.started_at
        await asyncio.sleep(0.01)
        await sink.write(b"data: x\n\n")
        await sink.end()
        assert sink.started_at == started_at

    async def test_a_whole_answer_is_kept_for_a_repeat(self):
        sink = detached_sink()
        await sink.send_whole(201, "text/plain", b"done")
        assert (sink.status, sink.content_type, sink.written) == (
            201,
            "text/plain",
            b"done",
        )

    async def test_an_answer_over_the_limit_is_not_kept(self):
        sink = detached_sink()
        await sink.begin(200, "text/plain")
        await sink.write(b"x" * MAX_KEPT_BYTES)
        await sink.write(b"x")
        assert sink.written is None

    async def test_a_problem_before_the_start_is_a_document(self):
        sink = detached_sink()
        await sink.send_problem(Problem(503, "overloaded", "Later.", retry_after=2.5))
        assert sink.status == 503
        assert sink.content_type == "application/problem+json"
        assert sink.response.headers["Retry-After"] == "3"

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_a_problem_within_an_answer_resets_the_connection(self, version):
        """A caller of HTTP/1.0 would take a close for the end of the answer."""

        async def handle(request):
            sink = AnswerSink(request, "request", keep=False)
            await sink.begin(200, "text/plain")
            await sink.write(b"part")
            await asyncio.sleep(0.05)
            await sink.send_problem(Problem(502, "failed", "The target broke off."))
            return sink.response

        server = web.Server(handle)
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1")
        host, port = listener.sockets[0].getsockname()
        caller = StalledCaller(f"{host}:{port}")
        await caller.send("/", version=version)
        received, is_reset = await caller.read_all()
        listener.close()
        await server.shutdown()
        assert is_reset
