import asyncio

from hibiscusstep.problem import Problem
from hibiscusstep.sink import MAX_KEPT_BYTES, Sink


def detached(keep=True):
    sink = Sink(None, "request", keep)
    sink.detached = True
    return sink


class TestSink:
    async def test_the_first_byte_has_its_time(self):
        sink = detached()
        assert sink.begun_at is None
        await sink.begin(200, "text/event-stream")
        begun = sink.begun_at
        await asyncio.sleep(0.01)
        await sink.write(b"data: x\n\n")
        await sink.end()
        assert sink.begun_at == begun

    async def test_a_whole_answer_is_kept_for_a_repeat(self):
        sink = detached()
        await sink.whole(201, "text/plain", b"done")
        assert (sink.status, sink.content_type, sink.sent) == (
            201,
            "text/plain",
            b"done",
        )

    async def test_what_is_too_large_is_not_kept_in_part(self):
        sink = detached()
        await sink.begin(200, "text/plain")
        await sink.write(b"x" * MAX_KEPT_BYTES)
        await sink.write(b"x")
        assert sink.sent is None

    async def test_a_problem_before_the_head_is_a_document(self):
        sink = detached()
        await sink.problem(Problem(503, "overloaded", "Later.", retry_after=2.5))
        assert sink.status == 503
        assert sink.content_type == "application/problem+json"
        assert sink.response.headers["Retry-After"] == "3"
