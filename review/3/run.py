"""A part of prompts that crashes workers, on a route that two services share."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from fleet import Fleet, configuration, engine_service, route, send  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = os.environ.get("SERVICES", "huvo11a,dele69a").split(",")
WORKERS = 4
FIRST, CRASHING = "5c1e07a2", "91bd3f06"
PLAY_S, EVERY_S, BACK_S = 85.0, 2.5, 3.0
CONTACT_S = 3.0
# The rule: more than three requests, later than ContactMs after the fifth crash.
CRASHES, MOST = 5, 3


async def watch_workers(fleet):
    """Bring back each worker that crashes."""
    down = {}
    while True:
        for name in fleet.workers:
            process = fleet.processes[name]
            if process.poll() is not None and name not in down:
                down[name] = time.monotonic() + BACK_S
            if name in down and time.monotonic() >= down[name]:
                del down[name]
                fleet.restart_worker(name)
        await asyncio.sleep(0.02)


async def play(fleet):
    await fleet.start_store()
    split = [{"Service": name, "Weight": 50} for name in SERVICES]
    routes = [route("r-a", "/lohu930/", "streaming", SERVICES[0])]
    if len(SERVICES) > 1:
        del routes[0]["Service"]
        routes[0]["TrafficSplit"] = split
    services = [engine_service(name, 8, 6) for name in SERVICES]
    await fleet.configure(configuration(routes, services))
    for service in SERVICES:
        for number in range(WORKERS):
            fleet.start_worker(
                f"i-{service}-{number}",
                service,
                "z-a",
                "v1",
                event_ms=40,
                crash_part=CRASHING,
            )
    await fleet.start_entries(3)
    await asyncio.sleep(2.0)
    names = list(fleet.entries)
    watching = asyncio.create_task(watch_workers(fleet))
    tasks, sound = [], []
    end = time.monotonic() + PLAY_S

    async def press(interval, parts):
        number = 0
        while time.monotonic() < end:
            own = f"{time.time_ns():x}"
            prefix = ",".join([*(f"{part}:60" for part in parts), f"{own}:100"])
            tokens = f"{60 * len(parts) + 100},150"
            entry = names[number % len(names)]
            task = asyncio.create_task(
                send(fleet, entry, "/lohu930/2f", usage=tokens, prefix=prefix)
            )
            tasks.append(task)
            if CRASHING not in parts:
                sound.append(task)
            number += 1
            await asyncio.sleep(interval)

    pressing = [asyncio.create_task(press(0.06, [FIRST]))]
    await asyncio.sleep(4.0)
    if TROUBLE:
        pressing.append(asyncio.create_task(press(EVERY_S, [FIRST, CRASHING])))
    await asyncio.gather(*pressing)
    await asyncio.gather(*tasks)
    watching.cancel()
    served = sum(task.result().complete for task in sound)
    runs = fleet.runs()
    crashes = sorted(entry["at"] for entry in runs if entry["what"] == "crashes")
    crashing = {entry["request"] for entry in runs if entry["what"] == "crashes"}
    late = []
    if len(crashes) >= CRASHES:
        from_then = crashes[CRASHES - 1] + CONTACT_S
        late = [
            entry
            for entry in runs
            if entry["what"] == "runs"
            and entry["request"] in crashing
            and entry["at"] > from_then
        ]
    for entry in late:
        fleet.record("late", **{k: entry[k] for k in ("request", "worker")})
    broken = sum(bool(t.result().events) and not t.result().complete for t in sound)
    print(
        f"{served} of {len(sound)} sound requests served, {broken} broken off; "
        f"{len(crashes)} crashes; {len(late)} requests with the part reach workers "
        "later than 3 s after the fifth"
    )
    if TROUBLE and len(crashes) < CRASHES or served < len(sound) / 2:
        return 2
    return 1 if len(late) > MOST else 0


def main():
    fleet = Fleet(HERE)
    try:
        return asyncio.run(play(fleet))
    except Exception as error:
        print(f"could not run: {error!r}")
        return 2
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(main())
