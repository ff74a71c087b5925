"""hibiscusstep.forwarding.quarantine_routes: the quarantine as operators see it."""

from aiohttp import web

from hibiscusstep.forwarding.quarantine import Quarantine

__all__ = ["add_quarantine_routes"]

_PATH = "/quarantine"


def add_quarantine_routes(app: web.Application, quarantine: Quarantine) -> None:
    """Let operators list requests that crashed targets, and clear one.

    ``GET /quarantine`` lists them; ``DELETE /quarantine/FINGERPRINT`` clears one at all
    instances, so that it is served again.
    """

    async def show(_request: web.Request) -> web.Response:
        return web.json_response({"requests": quarantine.listing()})

    async def clear(request: web.Request) -> web.Response:
        try:
            fingerprint = int(request.match_info["fingerprint"], 16)
        except ValueError:
            return web.Response(status=400, text="a hexadecimal number is wanted\n")
        known = quarantine.answered(fingerprint, why="operator")
        return web.Response(status=204 if known else 404)

    app.router.add_get(_PATH, show)
    app.router.add_delete(f"{_PATH}/{{fingerprint}}", clear)
