"""A client asks with HEAD, one request at a time, in calm."""

import asyncio

from world import Worker, World, configuration, request, run_case

REQUESTS = 8
TIMEOUT_S = 4.0


class HeadWorker(Worker):
    """Answers HEAD as HTTP/1.1 asks: the fields of the GET, and no body."""

    async def work(self, method, target, fields, body, writer):
        await asyncio.sleep(self.seconds)
        content = b"price 12"
        data = self.whole(fields, content)
        writer.write(data[: -len(content)] if method == "HEAD" else data)
        self.record(f"answer {self.name} {fields.get('x-request-id')} 200")
        return True


async def ask(front, method, name):
    """Return the status and the seal of the answer; status 0 if there is none."""
    host, _, port = front.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(TIMEOUT_S + 1.0):
            writer.write(request(method, "/read/price", name))
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, False
    finally:
        writer.close()
    return int(head.split()[1]), "x-response-seal:" in head.lower()


async def main(record, trouble):
    world = World(record, 3)
    workers = [Worker("i-llm1", "llm", record)]
    workers += [HeadWorker(f"i-api{n}", "api", record) for n in (1, 2, 3)]
    method = "HEAD" if trouble else "GET"
    unserved = []
    try:
        await world.start(configuration(), workers)
        await asyncio.sleep(4.0)
        for number in range(REQUESTS):
            front = world.fronts[number % len(world.fronts)]
            name = f"h-{number}"
            record(f"client {name} {method} to {front.name}")
            status, sealed = await ask(front, method, name)
            runs = sum(run[1] == name for worker in workers for run in worker.runs)
            record(f"client {name} -> {status} sealed {sealed}, runs {runs}")
            if status != 200 or not sealed:
                unserved.append(f"{name}: {status} after {runs} runs")
    finally:
        await world.stop()
    summary = f"{REQUESTS} requests, {len(unserved)} not served"
    record(summary)
    print(summary)
    if len(unserved) > REQUESTS // 2:
        return [f"{method} is not served in calm: {', '.join(unserved)}"]
    return []


run_case(main)
