"""A roll-out of a good version, and the streams that run while it completes."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from fleet import CONTRACTS, Fleet, configuration, engine_service, route, send  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "huvo11a"
WARM_S, ORDER_S, AFTER_S = 6.0, 25.0, 10.0
LONG, SHORT = "100,300", "100,18"  # 50 events in 5 s, and 3 events
# The rule: more than two streams.
MOST = 2


class Client:
    """One request of a client, with all its tries."""

    def __init__(self):
        self.tries = []

    @property
    def versions(self):
        """Versions of the workers whose events the client has."""
        return {data["version"] for t in self.tries for _, data in t.events}

    async def run(self, fleet, entries, path, usage):
        """Send the request; after a break go on once behind the last event."""
        first = await send(fleet, entries[0], path, usage=usage)
        self.tries.append(first)
        if first.complete or not first.events:
            return
        more = [("Last-Event-Id", str(first.events[-1][0])), ("Resumes", first.name)]
        left = 9000
        self.tries.append(
            await send(
                fleet, entries[1], path, usage=usage, more=more, deadline_ms=left
            )
        )


async def play(fleet):
    await fleet.start_store()
    routes = [
        route("r-long", "/lohu930/", "streaming", SERVICE, Priority=0, Resumable=True),
        route("r-short", "/pufi791/", "streaming", SERVICE, Resumable=True),
    ]
    await fleet.configure(configuration(routes, [engine_service(SERVICE, 8, 6)]))
    for number in range(4):
        fleet.start_worker(f"i-old{number}", SERVICE, "z-a", "v1", event_ms=100)
    await fleet.start_entries(3)
    await asyncio.sleep(2.0)
    for number in range(4):
        fleet.start_worker(f"i-new{number}", SERVICE, "z-a", "v2", event_ms=100)
    clients, tasks = [], []
    names = list(fleet.entries)

    async def press(path, usage, interval, until):
        number = 0
        while time.monotonic() < until:
            client = Client()
            clients.append(client)
            entries = [names[number % 3], names[(number + 1) % 3]]
            tasks.append(
                asyncio.create_task(client.run(fleet, entries, path, usage))
            )
            number += 1
            await asyncio.sleep(interval)

    end = time.monotonic() + WARM_S + ORDER_S + AFTER_S
    pressing = [
        asyncio.create_task(press("/lohu930/2f", LONG, 0.4, end)),
        asyncio.create_task(press("/pufi791/2f", SHORT, 0.12, end)),
    ]
    await asyncio.sleep(WARM_S)
    state = "no order"
    if TROUBLE:
        order = {"Service": SERVICE, "To": "v2", "DurationS": ORDER_S}
        await fleet.write("POST", "rollouts", order, {"Name": SERVICE})
        fleet.record("order", **order)
        while time.monotonic() < end and state not in ("completed", "rolled_back"):
            await asyncio.sleep(0.02)
            _, found = await fleet.write("GET", f"rollouts/{SERVICE}")
            state = (found.get("Status") or {}).get("State", "")
        fleet.record("order ended", state=state)
        if state == "completed":
            # "At `completed`, the old workers stop immediately, without draining."
            for number in range(4):
                fleet.signal(f"i-old{number}", signal.SIGKILL)
            for number in range(4):
                await fleet.write("DELETE", f"servers/i-old{number}")
    await asyncio.gather(*pressing)
    await asyncio.gather(*tasks)
    mixed = [client for client in clients if len(client.versions) > 1]
    in_one = [
        client
        for client in mixed
        if any(len({d["version"] for _, d in t.events}) > 1 for t in client.tries)
    ]
    for client in mixed:
        parts = [
            {"request": t.name, "versions": [d["version"] for _, d in t.events]}
            for t in client.tries
        ]
        fleet.record("mixed", tries=parts)
    served = sum(client.tries[-1].complete for client in clients)
    print(
        f"{len(clients)} streams, {served} complete; order: {state}; "
        f"{len(mixed)} hold events of two versions, {len(in_one)} in one answer"
    )
    if served < len(clients) / 2 or (TROUBLE and state != "completed"):
        return 2
    return 1 if len(mixed) > MOST else 0


def main():
    fleet = Fleet(HERE, contracts=[*CONTRACTS, "rollout"], bounds={
        "ExposureShare": 0.1, "ExposureSlack": 50, "RollbackMs": 5000,
    })
    try:
        with contextlib.suppress(KeyboardInterrupt):
            return asyncio.run(play(fleet))
    except Exception as error:
        print(f"could not run: {error!r}")
        return 2
    finally:
        fleet.close()
    return 2


if __name__ == "__main__":
    sys.exit(main())
