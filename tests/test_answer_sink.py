import asyncio

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
