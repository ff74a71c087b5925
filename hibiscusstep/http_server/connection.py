"""hibiscusstep.http_server.connection: passes a caller's bytes to the HTTP parser.

The parser of aiohttp sees whole heads that keep the limit, and after each only the
bytes of its body. Bytes behind a request wait unparsed until it has been answered.
"""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web
from aiohttp.hdrs import CONTENT_LENGTH, METH_CONNECT
from aiohttp.http import RawRequestMessage

from hibiscusstep.http_server.connection_table import Phase
from hibiscusstep.http_server.limits import IngressLimits
from hibiscusstep.http_server.loop_share import Parsing, parsing_cost
from hibiscusstep.http_server.server_context import LINGER_S, ServerContext

__all__ = ["Connection", "RequestRefused", "field_memory"]

# The limits are checked here; the parser's own must not be met first.
PARSER_LIMIT = 1 << 30
END_OF_HEAD = b"\r\n\r\n"
LINE_ENDS = b"\r\n"
# What a parsed field takes at least, and the number that is not counted.
FIELD_BYTES = 200
USUAL_FIELDS = 64
# HTTP asks to ignore an empty line before a request.
MAX_BLANK_BYTES = 16
# Bytes of a body that are parsed at once.
PIECE_BYTES = 1 << 14
# What a caller may send after a refusal.
MAX_DISCARDED_BYTES = 1 << 18


def field_memory(count: int) -> int:
    """Return the bytes that the fields of a head take beyond those of a usual one."""
    return FIELD_BYTES * max(0, count - USUAL_FIELDS)


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Status of a refusal and the reason that is counted."""

    status: HTTPStatus
    reason: str


HEAD_TOO_LATE = _Refusal(HTTPStatus.REQUEST_TIMEOUT, "head-too-late")
HEAD_TOO_LONG = _Refusal(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head-too-long")
MALFORMED = _Refusal(HTTPStatus.BAD_REQUEST, "malformed")
NO_ROOM = _Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "no-room")
NO_MEMORY = _Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "memory")
BLANK_LINES = _Refusal(HTTPStatus.BAD_REQUEST, "blank-lines")
FRAMING_TOO_LONG = _Refusal(HTTPStatus.BAD_REQUEST, "framing-too-long")


class RequestRefused(Exception):
    """The body of a request will not be read to its end.

    Raised to whoever reads the body. The request has not run.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    reason : str
        Reason for the log.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Connection(web.RequestHandler, Parsing):
    """Connection of a caller that need not keep the limits.

    Parameters
    ----------
    manager : aiohttp.web.Server
        Server of the application.
    context : ServerContext
        What the connections of a port share.
    **options : object
        Further arguments of `aiohttp.web.RequestHandler`.
    """

    __slots__ = (
        "_at_work",
        "_awaits_turn",
        "_blank_bytes",
        "_body_left",
        "_body_paused",
        "_body_tail",
        "_connected",
        "_context",
        "_counted",
        "_discarded",
        "_first_request",
        "_framing_bytes",
        "_held",
        "_input_paused",
        "_is_closing",
        "_offset",
        "_payload",
        "_refused",
        "_searched",
    )

    def __init__(
        self,
        manager: web.Server,
        context: ServerContext,
        *,
        loop: asyncio.AbstractEventLoop,
        **options,
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            access_log=None,
            max_line_size=PARSER_LIMIT,
            max_field_size=PARSER_LIMIT,
            max_headers=PARSER_LIMIT,
            **options,
        )
        self._context = context
        # Received bytes that the parser has not seen, from an offset on.
        self._held = b""
        self._offset = 0
        self._counted = 0
        # Where the search for the end of the head goes on.
        self._searched = 0
        self._blank_bytes = 0
        # A request that has not been answered, and its body while it is incomplete.
        self._at_work = False
        self._payload = None
        self._body_left: int | None = 0
        # The last bytes of a chunked body that were parsed, and the bytes since the
        # last one that belongs to its content.
        self._body_tail = b""
        self._framing_bytes = 0
        self._body_paused = False
        self._input_paused = False
        self._refused = False
        self._discarded = 0
        self._first_request = True
        # The transport until it is lost; aiohttp forgets it when it closes.
        self._connected: asyncio.Transport | None = None
        self._is_closing = False
        # Whether it waits for its turn to parse.
        self._awaits_turn = False

    @property
    def _limits(self) -> IngressLimits:
        return self._context.limits

    @property
    def _phase(self) -> Phase:
        if self._at_work:
            return Phase.AT_WORK if self._payload is None else Phase.BODY
        if self._refused:
            return Phase.REFUSED
        if self._is_closing:
            return Phase.CLOSING
        if self._payload is not None:
            return Phase.BODY
        if self._held:
            return Phase.HEAD
        return Phase.NEW if self._first_request else Phase.IDLE

    @property
    def held_bytes(self) -> int:
        """Received bytes that wait to be parsed."""
        return len(self._held)

    def refuse_input(self) -> None:
        """Refuse what waits to be parsed: all connections hold too much."""
        self._refuse(NO_MEMORY)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        self._connected = transport
        super().connection_made(transport)
        self._record_phase()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._context.table.remove(self)
        self._connected = None
        self._held = b""
        self._count_held()
        super().connection_lost(exc)

    def expire(self, phase: Phase) -> None:
        """Close the connection: it has been in this phase for too long."""
        if phase is Phase.HEAD:
            self._refuse(HEAD_TOO_LATE)
        elif phase in (Phase.NEW, Phase.IDLE):
            self.force_close()
        else:
            self._connected.abort()

    def close(self) -> None:
        """Close the connection after the requests that were parsed."""
        self._is_closing = True
        super().close()
        self._record_phase()

    def force_close(self) -> None:
        """Close the connection once what was written has been taken."""
        self._is_closing = True
        super().force_close()
        self._record_phase()

    def evict(self) -> None:
        """Close the connection, whose request is not at work, for another one.

        A caller whose body is incomplete is told that its request has not run.
        """
        self._context.table.remove(self)
        transport, self._connected = self._connected, None
        if self._at_work and not self._refused:
            self._refuse(NO_ROOM)
            self._loop.call_later(LINGER_S, transport.abort)
        else:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take bytes of the caller; none if the parser may go on with what it has."""
        if not data:
            self._parse(data)
        elif self._refused:
            self._discard(len(data))
        elif not (self._force_close or self._close):
            self._held = self._held[self._offset :] + data if self._held else data
            self._offset = 0
            self._advance()

    def pause_reading(self) -> None:
        """Parse no more of the body: enough of it waits to be read."""
        self._body_paused = True
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Parse on. Readers call this for each piece that they take."""
        if not self._body_paused:
            return
        self._body_paused = False
        super().resume_reading(resume_parser)
        if self._input_paused:
            self._receive(False)
        self._advance()

    async def finish_response(self, request, resp, start_time):
        """Write the rest of a response; then the next request may be parsed."""
        result = await super().finish_response(request, resp, start_time)
        self._at_work = False
        self._is_closing |= not resp.keep_alive or result[1]
        if not self._is_closing:
            self._advance()
        self._record_phase()
        return result

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to a request whose handler failed."""
        if not isinstance(exc, RequestRefused):
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0:
            raise ConnectionError("the response has begun")
        response = web.Response(status=exc.status)
        response.force_close()
        return response

    def log_exception(self, *args, **kw) -> None:
        """Log an exception, unless it only tells that a body was refused."""
        is_refusal = isinstance(kw.get("exc_info"), RequestRefused)
        if not is_refusal and self._context.admits_exception():
            super().log_exception(*args, **kw)

    def _advance(self) -> None:
        """Parse what may be parsed now, and receive no more while bytes wait for it."""
        while (
            self._offset < len(self._held)
            and not (self._refused or self._awaits_turn)
            and (
                self._parse_body() if self._payload is not None else self._parse_head()
            )
        ):
            pass
        if self._offset >= len(self._held):
            self._held = b""
            self._offset = 0
        self._pause_input()
        self._record_phase()
        self._count_held()

    def _count_held(self) -> None:
        change = len(self._held) - self._counted
        if change:
            self._counted += change
            self._context.count_held(change, self)

    def _record_phase(self) -> None:
        if self._connected is not None:
            self._context.table.set_phase(self, self._phase, self._loop.time())

    def _pause_input(self) -> None:
        waits = bool(self._held) and (
            self._at_work or self._body_paused or self._awaits_turn
        )
        if waits != self._input_paused:
            self._input_paused = waits
            if waits or not self._body_paused:
                self._receive(not waits)

    def _receive(self, is_enabled: bool) -> None:
        """Receive bytes, or leave them to the kernel."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if is_enabled:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def go_on(self) -> None:
        """Parse on: it is this connection's turn."""
        self._awaits_turn = False
        if self._connected is not None:
            self._advance()

    def _take_turn(self, is_head: bool) -> bool:
        """Whether it may parse now; otherwise it waits for its turn."""
        share = self._context.loop_share
        if share.allows(is_head):
            return True
        self._awaits_turn = True
        share.wait(self, is_head)
        return False

    def _parse_head(self) -> bool:
        """Parse a head if all of it is here; return whether to go on."""
        if self._at_work or not self._skip_blank_lines():
            return False
        held, start = self._held, self._offset
        if not b"A" <= held[start : start + 1] <= b"Z":
            self._refuse(MALFORMED)
            return False
        found = held.find(END_OF_HEAD, max(start, self._searched))
        end = found + len(END_OF_HEAD) if found >= 0 else len(held)
        if end - start > self._limits.max_header_bytes:
            self._refuse(HEAD_TOO_LONG)
            return False
        if found < 0:
            self._held = held[start:] if start else held
            self._offset = 0
            self._searched = max(0, len(self._held) - len(END_OF_HEAD) + 1)
            return False
        if not self._take_turn(is_head=True):
            return False
        head = held[start:end]
        memory = field_memory(head.count(b"\n"))
        if memory and not self._context.make_room(memory):
            self._refuse(NO_MEMORY)
            return False
        self._searched = self._blank_bytes = 0
        self._offset = end
        self._context.loop_share.spend(parsing_cost(head, has_lines=True))
        self._start_request(head)
        return True

    def _skip_blank_lines(self) -> bool:
        """Skip line ends before a head; return whether more bytes are here."""
        held, start = self._held, self._offset
        if held[start] not in LINE_ENDS:
            return True
        rest = held[start:].lstrip(LINE_ENDS)
        self._blank_bytes += len(held) - start - len(rest)
        self._held, self._offset = rest, 0
        if self._blank_bytes > MAX_BLANK_BYTES:
            self._refuse(BLANK_LINES)
            return False
        return bool(rest)

    def _start_request(self, head: bytes) -> None:
        """Parse a whole head."""
        self._parse(head)
        if not self._messages:
            if not self._refused:
                self._refuse(MALFORMED)
            return
        message, payload = self._messages[-1]
        self._at_work = True
        self._first_request = False
        if payload.is_eof() or message.method == METH_CONNECT:
            return
        self._payload = payload
        length = message.headers.get(CONTENT_LENGTH)
        self._body_left = None if message.chunked or length is None else int(length)
        self._body_tail = b""
        self._framing_bytes = 0

    def _parse(self, data: bytes) -> None:
        """Pass bytes to the parser, and refuse the caller after an error."""
        super().data_received(data)
        if self._messages and not isinstance(self._messages[-1][0], RawRequestMessage):
            del self._messages[-1]
            self._refuse(MALFORMED)
        elif self._payload is not None and self._payload.is_eof():
            self._payload = None

    def _parse_body(self) -> bool:
        """Parse a piece that does not reach beyond a body; return whether to go on."""
        if self._body_paused or not self._take_turn(is_head=False):
            return False
        held, start = self._held, self._offset
        size = min(PIECE_BYTES, len(held) - start)
        if self._body_left is not None:
            size = min(size, self._body_left)
            self._body_left -= size
        else:
            # A chunked body ends with an empty line, as its chunks may.
            searched = self._body_tail + held[start : start + size]
            found = searched.find(END_OF_HEAD)
            if found >= 0:
                size = found + len(END_OF_HEAD) - len(self._body_tail)
            self._body_tail = searched[: len(self._body_tail) + size][-3:]
        part = held[start : start + size]
        self._offset = start + size
        payload = self._payload
        content_bytes = payload.total_bytes
        is_chunked = self._body_left is None
        self._context.loop_share.spend(parsing_cost(part, is_chunked))
        self._parse(part)
        if payload.total_bytes > content_bytes:
            self._framing_bytes = 0
        elif self._payload is not None and not self._refused:
            self._framing_bytes += size
            if self._framing_bytes > self._limits.max_header_bytes:
                self._refuse(FRAMING_TOO_LONG)
        return True

    def _refuse(self, refusal: _Refusal) -> None:
        """Refuse what the caller sends; close the connection after a response."""
        self._context.count_refusal(refusal.reason, self.peername)
        self._stop_reading()
        if self._payload is not None:
            error = RequestRefused(refusal.status, refusal.reason)
            self._payload.set_exception(error)
        elif self._at_work:
            self.close()
        else:
            self._answer(refusal.status)
        self._record_phase()

    def _stop_reading(self) -> None:
        self._refused = True
        self._held = b""
        self._offset = 0
        self._count_held()
        self._receive(False)

    def _answer(self, status: HTTPStatus) -> None:
        """Write a response of the connection itself, and close."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        line = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        fields = "Content-Length: 0\r\nConnection: close\r\n\r\n"
        transport.write((line + fields).encode())
        self.close()
        # A close with unread bytes would reset the connection and lose the response.
        transport.write_eof()
        self._receive(True)

    def _discard(self, size: int) -> None:
        self._discarded += size
        if self._discarded > MAX_DISCARDED_BYTES and self._connected is not None:
            self._connected.abort()
