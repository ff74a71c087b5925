"""hibiscusstep.platform.headers: header fields of callers' requests and answers."""

from hibiscusstep.forwarding.dialect import AnswerHead, Dialect, Order, RequestHead

__all__ = ["PlatformDialect"]

_MISDIRECTED = 421
_TURNED_AWAY = 503
# A target that asks for more is asked again after this; it may mean a date.
MAX_STAY_AWAY_S = 300.0
_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade "
    b"content-length proxy-authenticate proxy-authorization expect".split()
)
# Only the system may set these; a caller's own are dropped.
_RESERVED = frozenset(
    b"authorization x-tenant x-target-instance x-request-deadline-ms last-event-id "
    b"x-hold x-pin-ms x-kv-backup kv-from kv-fetch x-expected-version".split()
)
_DROPPED = _HOP | _RESERVED
_BEARER = "bearer "


class PlatformDialect(Dialect):
    """The header fields of the users' platform."""

    def read_request(self, headers) -> RequestHead:
        """Return what a caller's fields say; what is malformed counts as absent."""
        usage = headers.get("X-Token-Usage", "")
        prompt, output = _pair(usage)
        hint = _number(headers.get("X-Length-Hint"))
        deadline_ms = _number(headers.get("X-Request-Deadline-Ms"))
        authorization = headers.get("Authorization", "")
        bearer = authorization[: len(_BEARER)].lower() == _BEARER
        return RequestHead(
            request=headers.get("X-Request-Id", ""),
            key=authorization[len(_BEARER) :].strip() if bearer else "",
            patience=None if deadline_ms is None else deadline_ms / 1000,
            prompt_tokens=prompt,
            output_tokens=output,
            expected_output=output if hint is None else min(output, int(hint)),
            counted=bool(usage),
            last_event=headers.get("Last-Event-Id", ""),
            prompt=headers.get("X-Prompt-Prefix", ""),
        )

    def order_fields(self, raw, order: Order):
        """Return the caller's fields without hop-by-hop and reserved ones, and ours."""
        fields = [(k, v) for k, v in raw if k.lower() not in _DROPPED]
        milliseconds = max(1, int(order.timeout * 1000))
        fields.append((b"X-Request-Deadline-Ms", str(milliseconds).encode()))
        fields.append((b"X-Target-Instance", order.target.encode()))
        if order.customer:
            fields.append((b"X-Tenant", order.customer.encode()))
        if order.last_event:
            fields.append((b"Last-Event-Id", order.last_event.encode()))
        return fields

    def read_answer(self, status: int, headers) -> AnswerHead:
        """Return what a target's fields say."""
        running, waiting = _pair(headers.get("X-Server-Load", ""), -1)
        return AnswerHead(
            request=headers.get("X-Request-Id", ""),
            sealed="X-Response-Seal" in headers,
            not_run="X-Not-Executed" in headers or status == _MISDIRECTED,
            misdirected=status == _MISDIRECTED,
            encoded=headers.get("Content-Encoding", "identity") != "identity",
            running=running,
            waiting=waiting,
            idle_timeout=_keep_alive(headers.get("Keep-Alive", "")),
            # Of a misdirected request another target than the one meant answers.
            leaving=headers.get("Server-Leaving") == "1" and status != _MISDIRECTED,
            stay_away=_stay_away(status, headers),
        )

    def answer_fields(self, raw):
        """Return the target's fields without those of the connection."""
        return [
            (k.decode("latin-1"), v.decode("latin-1"))
            for k, v in raw
            if k.lower() not in _HOP
        ]


def _pair(text: str, absent: int = 0) -> tuple[int, int]:
    parts = text.split(",")
    try:
        return int(parts[0]), int(parts[1])
    except (ValueError, IndexError):
        return absent, absent


def _number(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None


def _stay_away(status: int, headers) -> float:
    """Return the seconds of a refusal's ``Retry-After``; 0 if there are none."""
    if status != _TURNED_AWAY:
        return 0.0
    seconds = _number(headers.get("Retry-After"))
    if seconds is None or not seconds > 0:
        return 0.0
    return min(seconds, MAX_STAY_AWAY_S)


def _keep_alive(text: str) -> float:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _number(value) or 0.0
    return 0.0
