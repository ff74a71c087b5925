"""hibiscusstep.forwarding.own_answer: answers that no target gave."""

import orjson
from aiohttp import web

__all__ = ["own_answer"]

_PROBLEM_TYPE = "application/problem+json"


def own_answer(
    status: int,
    problem: dict[str, str] | None = None,
    retry_after: float | None = None,
) -> web.Response:
    """Return an answer of the instance's own.

    Parameters
    ----------
    status : int
        Of the answer.
    problem : dict of str to str, default=None
        Members of a problem document (RFC 9457) that tells the caller why.
    retry_after : float, default=None
        Seconds after which the caller may come back.
    """
    headers = {} if retry_after is None else {"Retry-After": f"{retry_after:.2f}"}
    if problem is None:
        return web.Response(status=status, headers=headers)
    body = orjson.dumps({**problem, "status": status})
    return web.Response(
        status=status, headers=headers, body=body, content_type=_PROBLEM_TYPE
    )
