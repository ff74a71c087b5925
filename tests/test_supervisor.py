"""Tests of hibiscusstep.supervisor and of the bounded mailbox."""

import asyncio

import pytest

from hibiscusstep.mailbox import MailboxFull, Worker
from hibiscusstep.supervisor import Child, RestartPolicy, Supervisor, TooManyRestarts


class StepRecorder:
    def __init__(self):
        self.lines = []

    def child(self, name, cleanup=0.0, crashes=0, **options):
        crashes_left = [crashes]

        async def run():
            self.lines.append(f"{name} starts")
            if crashes_left[0]:
                crashes_left[0] -= 1
                raise RuntimeError(name)
            try:
                await asyncio.Event().wait()
            finally:
                await asyncio.sleep(cleanup)
                self.lines.append(f"{name} cleaned up")

        return Child(name, run, **options)


async def run_until(supervisor, condition):
    task = asyncio.create_task(supervisor.run())
    async with asyncio.timeout(10):
        while not condition() and not task.done():
            await asyncio.sleep(0.01)
    task.cancel()
    return (await asyncio.gather(task, return_exceptions=True))[0]


class TestSupervisor:
    async def test_stops_children_in_reverse_after_their_cleanup(self):
        recorder = StepRecorder()
        children = [recorder.child(name, cleanup=0.02) for name in "abc"]
        await run_until(Supervisor("s", children), lambda: len(recorder.lines) == 3)
        assert recorder.lines[3:] == ["c cleaned up", "b cleaned up", "a cleaned up"]

    async def test_restarts_a_crashed_child(self):
        recorder = StepRecorder()
        supervisor = Supervisor("s", [recorder.child("a", crashes=2)])
        await run_until(supervisor, lambda: len(recorder.lines) == 3)
        assert supervisor.restarts == 2

    async def test_fails_when_an_essential_child_crashes(self):
        recorder = StepRecorder()
        children = [
            recorder.child("other"),
            recorder.child("a", crashes=1, restart=RestartPolicy.ESSENTIAL),
        ]
        ended = await run_until(Supervisor("s", children), lambda: False)
        assert isinstance(ended, TooManyRestarts) and "a ended" in str(ended)
        assert recorder.lines[-1] == "other cleaned up"

    async def test_fails_after_too_many_crashes(self):
        recorder = StepRecorder()
        supervisor = Supervisor("s", [recorder.child("a", crashes=9)], max_restarts=2)
        assert isinstance(await run_until(supervisor, lambda: False), TooManyRestarts)


class TestWorkerMailbox:
    async def test_is_bounded(self):
        class Idle(Worker):
            async def handle(self, message):
                """Ignore the message."""

        worker = Idle("idle", capacity=1)
        worker.tell(1)
        with pytest.raises(MailboxFull, match="tell idle: mailbox full"):
            worker.tell(2)
