"""Stand-in of the platform's metadata store: objects, watches, revisions.

Usage: store.py ADDRESS HEARTBEAT_MS

It follows the pages: lists in pages, one revision counter, conditions on revisions,
watches, removal of entries of `servers` after three heartbeat intervals of silence.
`POST /control` sets faults; it is the test's, not the system's:

    {"down": true}       no call is answered (connections stay open, silent)
    {"late_s": 3.0, "late_kind": "K", "late_count": 1}
                         the next writes of a kind are not answered, and done later
"""

import asyncio
import copy
import json
import sys
import time
from urllib.parse import parse_qs, unquote

from http1 import read_request, response

ROOT = "/hibiscusstep/objects/"
PAGE = 500


class Store:
    """The objects with their history."""

    def __init__(self, heartbeat_s):
        self.heartbeat_s = heartbeat_s
        self.revision = 1
        self.objects = {}
        self.heard = {}
        self.history = []
        self.changed = asyncio.Event()
        self.down = False
        self.late_s, self.late_kind, self.late_count = 0.0, "", 0

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def save(self, kind, name, item):
        self.revision += 1
        item["Metadata"]["Revision"] = self.revision
        self.objects[kind, name] = item
        self.history.append((self.revision, kind, False, copy.deepcopy(item)))
        self._notify()

    def remove(self, kind, name):
        item = self.objects.pop((kind, name))
        self.heard.pop(name, None)
        self.revision += 1
        self.history.append((self.revision, kind, True, copy.deepcopy(item)))
        self._notify()

    async def expire(self):
        """Remove the entries of silent workers."""
        while True:
            await asyncio.sleep(0.1)
            if self.down:
                continue
            limit = time.monotonic() - 3 * self.heartbeat_s
            for name, at in list(self.heard.items()):
                if at < limit and ("servers", name) in self.objects:
                    self.remove("servers", name)

    def handle_list(self, kind, query):
        after = query.get("After", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:PAGE]]
        return 200, {
            "Items": items,
            "HasMore": len(names) > PAGE,
            "At": self.revision,
        }

    async def handle_watch(self, kind, query):
        since = int(query["Watch"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            if since > self.revision:
                return 410, {}
            events = [
                {"Removed": removed, "Object": item}
                for revision, of, removed, item in self.history
                if of == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "At": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def handle_write(self, method, kind, name, is_status, body):
        metadata = (body or {}).get("Metadata") or {}
        name = name or metadata.get("Name", "")
        known = self.objects.get((kind, name))
        if method == "POST":
            if known:
                return 409, known
            item = {
                "Metadata": {"Name": name, "Created": int(time.time() * 1000)},
                "Spec": body.get("Spec"),
                "Status": None,
            }
            self.save(kind, name, item)
        elif known is None:
            return 404, {}
        elif metadata.get("Revision") not in (None, known["Metadata"]["Revision"]):
            return 409, known
        elif method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        else:
            field = "Status" if is_status else "Spec"
            if known[field] != body.get(field):
                item = copy.deepcopy(known)
                item[field] = body.get(field)
                self.save(kind, name, item)
        if kind == "servers":
            self.heard[name] = time.monotonic()
        return 200, self.objects[kind, name]

    async def handle(self, request):
        """Return the status and document of an answer; None for no answer."""
        parts = [unquote(p) for p in request.path[len(ROOT) :].split("/") if p]
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if request.method == "GET":
            if name:
                found = self.objects.get((kind, name))
                return (200, found) if found else (404, {})
            if "Watch" in query:
                return await self.handle_watch(kind, query)
            return self.handle_list(kind, query)
        body = json.loads(request.body) if request.body else {}
        write = (request.method, kind, name, parts[2:] == ["status"], body)
        if self.late_count > 0 and kind == self.late_kind:
            self.late_count -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, lambda: self.handle_write(*write))
            return None
        return self.handle_write(*write)

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if request.path == "/control":
                    for key, value in json.loads(request.body).items():
                        setattr(self, key, value)
                    writer.write(response(200, b"{}"))
                    continue
                if self.down:
                    await reader.read()
                    return
                answer = await self.handle(request)
                if answer is None or self.down:
                    # A connection on which an answer is lost returns nothing further.
                    await reader.read()
                    return
                status, document = answer
                body = json.dumps(document).encode()
                writer.write(response(status, body, [("Store-Era", "1")]))
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()


async def main():
    address, heartbeat_ms = sys.argv[1], float(sys.argv[2])
    store = Store(heartbeat_ms / 1000)
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(store.serve, host, int(port), backlog=512)
    asyncio.create_task(store.expire())
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
