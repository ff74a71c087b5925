"""hibiscusstep.operations: what operators ask of running instances."""

import asyncio
from collections.abc import Callable

import aiohttp

from hibiscusstep.errors import PeerError

__all__ = ["OperatorClient"]

POLL_S = 0.2
TIMEOUT_S = 5.0


class OperatorClient:
    """Speaks to the operators' port of an instance, and through it of all.

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
        """Give back the sockets."""
        if self._session:
            await self._session.close()

    async def status(self) -> dict:
        """Return the instance's view of the system.

        Raises
        ------
        PeerError
            If the instance does not answer, or not so.
        """
        return await self._get(self._address, "/status")

    async def explain(self, request: str) -> list[dict]:
        """Return the steps of a request, from the instance that held it."""
        holder = request.rpartition("-")[0]
        members = (await self.status())["members"]
        addresses = {member["name"]: member["operator_address"] for member in members}
        if holder not in addresses:
            names = ", ".join(addresses)
            raise PeerError(
                f"instance {holder!r} of the id is not alive; alive: {names}",
                step="explain",
                peer=self._address,
            )
        return await self._get(addresses[holder], f"/explain/{request}")

    async def wait_in_force(
        self, version: int, timeout: float, log: Callable[[str], None]
    ) -> list[str]:
        """Wait until every live instance has a version in force.

        Returns
        -------
        list of str
            Names of those that do not have it after `timeout` seconds.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        last = -1
        while True:
            members = (await self.status())["members"]
            behind = [m["name"] for m in members if m["version"] < version]
            if len(behind) != last:
                done = len(members) - len(behind)
                log(f"in force on {done} of {len(members)} instances")
                last = len(behind)
            if not behind or loop.time() > end:
                return behind
            await asyncio.sleep(POLL_S)

    async def _get(self, address: str, path: str):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S)
            )
        try:
            async with self._session.get(
                f"http://{address}{path}", headers=self._headers
            ) as response:
                data = await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as cause:
            detail = f"no answer: {type(cause).__name__}"
            raise PeerError(detail, step=path.split("/")[1], peer=address) from None
        if response.status != 200:
            raise PeerError(data["error"], step=path.split("/")[1], peer=address)
        return data
