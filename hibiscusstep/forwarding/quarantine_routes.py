"""hibiscusstep.forwarding.quarantine_routes: operator routes of the quarantine."""

from aiohttp import web

from hibiscusstep.forwarding.quarantine import Quarantine

__all__ = ["add_quarantine_routes"]

_PATH = "/quarantine"


def add_quarantine_routes(app: web.Application, quarantine: Quarantine) -> None:
    """Add routes to list what crashed targets and to clear one entry of the list.

    ``GET /quarantine`` lists requests and parts of prompts.
    ``DELETE /quarantine/FINGERPRINT`` clears one at all instances, so that it is served
    again.
    """

    async def show(_request: web.Request) -> web.Response:
        suspects = {
            "requests": quarantine.list_suspects(),
            "parts": quarantine.list_parts(),
        }
        return web.json_response(suspects)

    async def clear(request: web.Request) -> web.Response:
        try:
            fingerprint = int(request.match_info["fingerprint"], 16)
        except ValueError:
            return web.Response(status=400, text="a hexadecimal number is wanted\n")
        was_suspected = quarantine.clear_request(
            fingerprint, why="operator"
        ) or quarantine.clear_parts([fingerprint], why="operator")
        return web.Response(status=204 if was_suspected else 404)

    app.router.add_get(_PATH, show)
    app.router.add_delete(f"{_PATH}/{{fingerprint}}", clear)
