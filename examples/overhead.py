"""examples.overhead: measures the latency and cost of an instance per stream.

Prints Markdown tables: time to the first token and between tokens through an instance
and with direct calls to the same engine; processor time and memory of one instance by
the number of open streams.
"""

import asyncio
import json
import multiprocessing
import os
import sys
import time
from pathlib import Path

import aiohttp
import numpy as np
from fleet import Fleet

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
KEY = {"Authorization": "Bearer demo-guro-animation"}
TOKEN_PERIOD_S = 0.062
DRIVERS = 3
ENGINES = 8
ROUTES = '{"routes": {"assistant": {"deadline": 60}}}'


def cpu_seconds(pid):
    """Return the processor seconds used by a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 1e6


async def read_stream(session, url, tokens, firsts, gaps):
    """Read a stream; collect the seconds to its first chunk and between chunks."""
    body = {
        "model": "assistant",
        "messages": [{"role": "user", "content": "how long?"}],
        "max_tokens": tokens,
        "stream": True,
    }
    started = last = time.perf_counter()
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=KEY
    ) as response:
        assert response.status == 200, await response.text()
        async for _chunk in response.content.iter_any():
            now = time.perf_counter()
            (firsts if last == started else gaps).append(now - last)
            last = now


async def read_streams(urls, streams, tokens, stagger):
    """Read several streams concurrently, started `stagger` seconds apart."""
    firsts, gaps = [], []
    timeout = aiohttp.ClientTimeout(total=None)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        tasks = []
        for number in range(streams):
            url = urls[number % len(urls)]
            tasks.append(
                asyncio.create_task(read_stream(session, url, tokens, firsts, gaps))
            )
            await asyncio.sleep(stagger)
        await asyncio.gather(*tasks)
    return firsts, gaps


def run_driver(urls, streams, tokens, stagger, queue):
    """Run `read_streams`; the main function of a driver process."""
    queue.put(asyncio.run(read_streams(urls, streams, tokens, stagger)))


def percentiles(values):
    """Return p50, p95 and p99 in milliseconds."""
    return [round(1e3 * float(v), 2) for v in np.percentile(values, [50, 95, 99])]


def measure_added_latency(rounds):
    """Print latencies through an instance and of direct calls, in alternation."""
    options = ["--decode-rate", "50", "--prefill-rate", "100000"]
    with Fleet("hanul", targets=1, engine_options=options) as fleet:
        direct = [fleet.target_url("worker-0")]
        through = list(fleet.callers.values())
        print(
            "| round | path | first token p50, p95, p99 ms | between p50, p95, p99 ms |"
        )
        print("| --- | --- | --- | --- |")
        for number in range(rounds):
            for name, urls in (("direct", direct), ("through", through)):
                firsts, gaps = asyncio.run(read_streams(urls, 100, 20, 0.15))
                times = f"{percentiles(firsts)} | {percentiles(gaps)}"
                print(f"| {number} | {name} | {times} |")


def _wide_fleet(log_level="WARNING"):
    """Return a deployment whose engines serve many streams at a fixed rate."""
    options = ["--decode-rate", str(1 / TOKEN_PERIOD_S), "--prefill-rate", "1000000"]
    options += ["--max-running", "400", "--batch-cost", "0"]
    settings = {"log_level": log_level, "history": ""}
    targets = {f"worker-{n}": {"max_running": 400} for n in range(ENGINES)}
    wide = json.dumps({"pools": {"hibiscus-pool": {"targets": targets}}})
    return Fleet(
        "hanul",
        targets=ENGINES,
        engine_options=options,
        settings=settings,
        files={"80-wide.json": wide, "81-routes.json": ROUTES},
    )


def measure_cost(points):
    """Print processor time and memory of one instance by the number of open streams."""
    with _wide_fleet() as fleet:
        name = next(n for n in fleet.instances if n in fleet.client("status"))
        pid, url = fleet.processes[name].pid, fleet.callers[name]
        print(f"idle: {resident_mb(pid):.1f} MB resident")
        print(
            "| open streams | events/s | core | us/event | MB resident "
            "| between p50, p95, p99 ms |\n| --- | --- | --- | --- | --- | --- |"
        )
        for streams in points:
            print(_cost_row(pid, [url], streams), flush=True)
        engines = [fleet.target_url(f"worker-{n}") for n in range(ENGINES)]
        for streams in points:
            print("direct " + _cost_row(pid, engines, streams), flush=True)


def _cost_row(pid, urls, streams, tokens=320, stagger=0.006, warm=None):
    queue = multiprocessing.Queue()
    share = streams // DRIVERS
    drivers = [
        multiprocessing.Process(
            target=run_driver, args=(urls, share, tokens, stagger * DRIVERS, queue)
        )
        for _ in range(DRIVERS)
    ]
    for driver in drivers:
        driver.start()
    time.sleep(warm or share * stagger * DRIVERS + 1.0)
    before, started = cpu_seconds(pid), time.perf_counter()
    time.sleep(8.0)
    spent = (cpu_seconds(pid) - before) / (time.perf_counter() - started)
    memory = resident_mb(pid)
    gaps = [gap for _ in drivers for gap in queue.get()[1]]
    for driver in drivers:
        driver.join()
    open_streams = min(DRIVERS * share, tokens * TOKEN_PERIOD_S / stagger)
    rate = open_streams / TOKEN_PERIOD_S
    per_event = 1e6 * spent / rate
    return (
        f"| {open_streams:.0f} | {rate:.0f} | {spent:.2f} | {per_event:.0f} "
        f"| {memory:.1f} | {percentiles(gaps)} |"
    )


def measure_steady_load(requests=36, tokens=433):
    """Print the cost of an instance at a constant rate of requests."""
    with _wide_fleet("INFO") as fleet:
        name = next(iter(fleet.instances))
        pid, url = fleet.processes[name].pid, fleet.callers[name]
        stream_seconds = tokens * TOKEN_PERIOD_S
        streams = int(requests * (stream_seconds + 12))
        print(f"{requests} requests/s of {tokens} tokens:")
        print(_cost_row(pid, [url], streams, tokens, 1 / requests, stream_seconds + 2))


if __name__ == "__main__":
    if sys.argv[1] == "added":
        measure_added_latency(rounds=3)
    elif sys.argv[1] == "steady":
        measure_steady_load()
    else:
        measure_cost(points=[int(n) for n in sys.argv[2:]] or [240, 480, 960])
