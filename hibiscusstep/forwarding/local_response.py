"""hibiscusstep.forwarding.local_response: responses that an instance creates itself."""

import orjson
from aiohttp import web

__all__ = ["local_response"]

_PROBLEM_CONTENT_TYPE = "application/problem+json"


def local_response(
    status: int,
    problem: dict[str, str] | None = None,
    retry_after: float | None = None,
) -> web.Response:
    """Return a response that comes from no target.

    Parameters
    ----------
    status : int
        HTTP status.
    problem : dict of str to str, default=None
        Members of a problem document (RFC 9457) for the body.
    retry_after : float, default=None
        Seconds for the Retry-After field.
    """
    headers = {} if retry_after is None else {"Retry-After": f"{retry_after:.2f}"}
    if problem is None:
        return web.Response(status=status, headers=headers)
    body = orjson.dumps({**problem, "status": status})
    return web.Response(
        status=status, headers=headers, body=body, content_type=_PROBLEM_CONTENT_TYPE
    )
