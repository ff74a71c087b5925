"""hibiscusstep.forwarding.quarantine_routes: operator routes of the quarantine."""

from aiohttp import web

from hibiscusstep.forwarding.quarantine import Quarantine

__all__ = ["add_quarantine_routes"]

_PATH = "/quarantine"


def add_quarantine_routes(app: web.Application, quarantine: Quarantine) -> None:
    """Add routes to list requests that crashed targets and to clear one of them.

    ``GET /quarantine`` lists the requests. ``DELETE /quarantine/FINGERPRINT`` clears
    one at all instances, so that it is served again.
    """

    async def show(_request: web.Request) -> web.Response:
        return web.json_response({"requests": quarantine.list_suspects()})

    async def clear(request: web.Request) -> web.Response:
        try:
            fingerprint = int(request.match_info["fingerprint"], 16)
        except ValueError:
            return web.Response(status=400, text="a hexadecimal number is wanted\n")
        was_suspected = quarantine.clear_request(fingerprint, why="operator")
        return web.Response(status=204 if was_suspected else 404)

    app.router.add_get(_PATH, show)
    app.router.add_delete(f"{_PATH}/{{fingerprint}}", clear)
