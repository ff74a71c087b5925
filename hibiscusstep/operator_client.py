"""hibiscusstep.operator_client: HTTP client of the instances' operator API."""

import asyncio
from collections.abc import Callable

import aiohttp
import orjson

from hibiscusstep.errors import PeerError

__all__ = ["OperatorClient"]

POLL_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 5.0


class OperatorClient:
    """Client of one instance's operator API, which also finds the other instances.

    Parameters
    ----------
    address : str
        IP number and port.
    key : str
        The operators' key.
    """

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._headers = {"Authorization": f"Bearer {key}"}
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session:
            await self._session.close()

    async def status(self) -> dict:
        """Return the instance's view of the system.

        Raises
        ------
        PeerError
            If the instance does not answer, or answers with an error.
        """
        return await self._get(self._address, "/status")

    async def explain(self, request: str) -> list[dict]:
        """Return the steps of a request from the instance that held it."""
        instance = request.rpartition("-")[0]
        members = (await self.status())["members"]
        addresses = {member["name"]: member["operator_address"] for member in members}
        if instance not in addresses:
            names = ", ".join(addresses)
            raise PeerError(
                f"instance {instance!r} of the request is not live; live: {names}",
                step="explain",
                peer=self._address,
            )
        return await self._get(addresses[instance], f"/explain/{request}")

    async def wait_until_in_force(
        self, version: int, timeout: float, log: Callable[[str], None]
    ) -> list[str]:
        """Wait until every live instance has a version in force.

        Returns
        -------
        list of str
            Names of the instances that do not have it after `timeout` seconds.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        last_pending = -1
        while True:
            members = (await self.status())["members"]
            pending = [m["name"] for m in members if m["version"] < version]
            if len(pending) != last_pending:
                done = len(members) - len(pending)
                log(f"in force on {done} of {len(members)} instances")
                last_pending = len(pending)
            if not pending or loop.time() > end:
                return pending
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _get(self, address: str, path: str):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
            )
        try:
            async with self._session.get(
                f"http://{address}{path}", headers=self._headers
            ) as response:
                data = orjson.loads(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as cause:
            detail = f"no answer: {type(cause).__name__}"
            raise PeerError(detail, step=path.split("/")[1], peer=address) from None
        if response.status != 200:
            raise PeerError(data["error"], step=path.split("/")[1], peer=address)
        return data
