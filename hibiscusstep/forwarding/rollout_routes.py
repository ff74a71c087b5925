"""hibiscusstep.forwarding.rollout_routes: operator endpoint for rollout orders."""

from collections.abc import Callable

from aiohttp import web

from hibiscusstep.forwarding.rollouts import RolloutCoordinator

__all__ = ["add_rollout_routes"]

_PATH = "/rollouts"


def add_rollout_routes(
    app: web.Application,
    coordinator: RolloutCoordinator,
    local_rollouts: Callable[[], dict[str, dict]],
) -> None:
    """Add ``GET /rollouts``: each pool's current versions and its order's progress.

    `local_rollouts` returns the state of the orders that this instance carries out, by
    pool.
    """

    async def show(_request: web.Request) -> web.Response:
        states = local_rollouts()
        pools = [
            {**entry, "here": states.get(entry["pool"])}
            for entry in coordinator.pool_summaries()
        ]
        return web.json_response({"pools": pools})

    app.router.add_get(_PATH, show)
