"""Minimal HTTP/1.1 for the stand-ins: standard library only."""

import asyncio
import socket
import struct


class Request:
    """A request: method, path, query string, header fields (lower case) and body."""

    def __init__(self, method, path, query, fields, body):
        self.method, self.path, self.query = method, path, query
        self.fields, self.body = fields, body


async def read_head(reader):
    """Return the first line and the fields of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *rest = head.decode("latin-1").strip("\r\n").split("\r\n")
    fields = {}
    for entry in rest:
        name, _, value = entry.partition(":")
        fields[name.strip().lower()] = value.strip()
    return line, fields


async def read_chunk(reader):
    """Return the next chunk; b"" is the regular end of the body."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_request(reader):
    """Return a Request, None if the connection ended."""
    head = await read_head(reader)
    if head is None:
        return None
    line, fields = head
    method, target, _version = line.split(" ")
    path, _, query = target.partition("?")
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        body = b"".join(parts)
    else:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Request(method, path, query, fields, body)


def response(status, body=b"", fields=(), content_type="application/json"):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    if body:
        lines.append(f"Content-Type: {content_type}")
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def chunk(data):
    """Return a chunk; an empty one ends the body."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.transport.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        except OSError:
            pass
    writer.transport.abort()


async def call(address, method, path, body=b"", fields=(), timeout=2.0):
    """Make one call on a new connection; return its status and body."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {address}",
                f"Content-Length: {len(body)}",
                "Connection: close",
                *(f"{name}: {value}" for name, value in fields),
            ]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            line, got = head
            data = await reader.readexactly(int(got.get("content-length", 0)))
            return int(line.split(" ")[1]), data
        finally:
            writer.close()
