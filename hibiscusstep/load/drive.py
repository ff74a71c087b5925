"""hibiscusstep.load.drive: replays a recording against the instances' caller ports."""

import asyncio
import enum
import itertools
import re
from dataclasses import dataclass, field

import aiohttp
import orjson

from hibiscusstep.continuation import event_texts
from hibiscusstep.load.mix import Arrival
from hibiscusstep.standins.batching import Job

__all__ = ["Driver", "Result", "State"]

END_MARK = b"data: [DONE]\n\n"
ANSWER_TIMEOUT_S = 120.0
_COMPUTED = re.compile(rb'"prompt_tokens_computed":\s*(\d+)')


class State(enum.StrEnum):
    """Final state of a request for its caller."""

    COMPLETE = "complete"
    WRONG = "wrong"
    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    FAILED = "failed"
    LEFT = "left"
    BROKEN = "broken"


@dataclass(slots=True)
class Result:
    """Result of a request as its caller saw it.

    Parameters
    ----------
    arrival : Arrival
        Request that was sent.
    state : State
        Final state.
    status : int
        HTTP status; 0 if there was none.
    reason : str
        Last part of the problem's type.
    first : float
        Seconds to the first token; infinite if there was none.
    end : float
        Seconds to the end.
    gaps : list of float
        Seconds between events.
    computed : int
        Prompt tokens that the engine computed for the answer.
    tries : int
        Number of times it was sent.
    retry_after : float
        Retry delay in seconds of the last refusal.
    request : str
        Request id assigned by the system.
    """

    arrival: Arrival
    state: State = State.BROKEN
    status: int = 0
    reason: str = ""
    first: float = float("inf")
    end: float = 0.0
    gaps: list = field(default_factory=list)
    computed: int = 0
    tries: int = 0
    retry_after: float = 0.0
    request: str = ""


class Driver:
    """Sender of arrivals at their times, to the instances in turn.

    Parameters
    ----------
    urls : sequence of str
        URLs for callers of the instances.
    key_prefix : str
        Prefix of a customer's key; the customer's name follows.
    """

    def __init__(self, urls, key_prefix: str = "demo-") -> None:
        self._urls = itertools.cycle(urls)
        self._key_prefix = key_prefix

    async def run(self, recording: list[Arrival]) -> list[Result]:
        """Replay a recording and return the results in the same order."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            start = asyncio.get_running_loop().time()
            tasks = [
                asyncio.create_task(self._run_caller(session, arrival, start))
                for arrival in recording
            ]
            return await asyncio.gather(*tasks)

    async def _run_caller(self, session, arrival: Arrival, start: float) -> Result:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, start + arrival.at - loop.time()))
        result = Result(arrival)
        started = loop.time()
        for _try in range(arrival.spec.retries + 1):
            result.tries += 1
            await self._try(session, arrival, result, started)
            if result.state is not State.NOT_RUN or not result.retry_after:
                break
            if _try < arrival.spec.retries:
                await asyncio.sleep(result.retry_after)
        return result

    async def _try(self, session, arrival: Arrival, result: Result, started) -> None:
        patience = arrival.spec.patience if arrival.leaves else ANSWER_TIMEOUT_S
        try:
            async with asyncio.timeout(patience):
                await self._send(session, arrival, result, started)
        except TimeoutError:
            result.state = State.LEFT if arrival.leaves else State.BROKEN
        except (aiohttp.ClientError, OSError) as error:
            result.state, result.reason = State.BROKEN, type(error).__name__
        result.end = asyncio.get_running_loop().time() - started

    async def _send(self, session, arrival: Arrival, result: Result, started) -> None:
        url = next(self._urls)
        spec = arrival.spec
        headers = {"Authorization": f"Bearer {self._key_prefix}{arrival.customer}"}
        if arrival.key:
            headers["Idempotency-Key"] = arrival.key
        if spec.tier:
            headers["Hibiscusstep-Tier"] = spec.tier
        path = spec.path or "/v1/chat/completions"
        async with session.post(
            url + path, data=_request_body(arrival), headers=headers
        ) as response:
            result.status = response.status
            result.request = response.headers.get("X-Request-Id", "")
            body = await self._read(response, result, started)
        if response.status == 200:
            _check_answer(arrival, body, result)
        else:
            _read_problem(body, result)

    async def _read(self, response, result: Result, started) -> bytes:
        loop = asyncio.get_running_loop()
        parts, last = [], None
        while chunk := await response.content.readany():
            now = loop.time()
            if last is None:
                result.first = now - started
            else:
                result.gaps.append(now - last)
            last = now
            parts.append(chunk)
        return b"".join(parts)


def _request_body(arrival: Arrival) -> bytes:
    if arrival.spec.path:
        return orjson.dumps({"call": arrival.prompt})
    return orjson.dumps(
        {
            "model": arrival.spec.model,
            "messages": [{"role": "user", "content": arrival.prompt}],
            "max_tokens": arrival.output_tokens,
            "stream": arrival.spec.stream,
        }
    )


def _check_answer(arrival: Arrival, body: bytes, result: Result) -> None:
    """Check that the answer is complete and belongs to this request only."""
    if arrival.spec.path:
        right = orjson.loads(body).get("bytes") == len(_request_body(arrival))
        result.state = State.COMPLETE if right else State.WRONG
        return
    job = Job("", arrival.prompt, arrival.output_tokens)
    expected = "".join(job.token(number) for number in range(job.output_tokens))
    if arrival.spec.stream:
        text = "".join(event_texts(body))
        whole = body.endswith(END_MARK)
    else:
        text = orjson.loads(body)["choices"][0]["message"]["content"]
        whole = True
    found = _COMPUTED.search(body[-400:])
    result.computed = int(found.group(1)) if found else 0
    if b"event: error" in body and expected.startswith(text):
        _read_problem(body.rpartition(b"data: ")[2].strip(), result)
    else:
        right = whole and text == expected
        result.state = State.COMPLETE if right else State.WRONG


def _read_problem(body: bytes, result: Result) -> None:
    try:
        problem = orjson.loads(body)
        result.state = State(problem["outcome"])
        result.reason = problem["type"].rpartition(":")[2]
        result.retry_after = float(problem.get("retry_after") or 0.0)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        result.state, result.reason = State.BROKEN, f"status {result.status}"
