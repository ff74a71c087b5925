"""hibiscusstep.platform.headers: the platform's header fields."""

import math
import re

from hibiscusstep.forwarding.dialect import (
    Dialect,
    RequestFields,
    TargetRequestHead,
    TargetResponseHead,
)
from hibiscusstep.log import decision
from hibiscusstep.routing.host_pace import is_valid_pace

__all__ = ["PlatformDialect"]

_MISDIRECTED_REQUEST = 421
_SERVICE_UNAVAILABLE = 503
# Upper bound of a target's ``Retry-After``; a larger number may be meant as a date.
MAX_RETRY_AFTER_S = 300.0
_HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade "
    b"content-length proxy-authenticate proxy-authorization expect".split()
)
# Only the system sets these; fields of callers are dropped.
_RESERVED_FIELDS = frozenset(
    b"authorization x-tenant x-target-instance x-request-deadline-ms last-event-id "
    b"x-hold x-pin-ms x-kv-backup kv-from kv-fetch x-expected-version".split()
)
_DROPPED_FIELDS = _HOP_BY_HOP | _RESERVED_FIELDS
_BEARER = "bearer "
# Fields that only targets set, by their prefixes. Those read here or only meant for
# callers are known.
_TARGET_FIELD_PREFIXES = ("server-", "x-", "kv-")
_KNOWN_TARGET_FIELDS = frozenset(
    "server-leaving server-limit server-brittle x-request-id x-response-seal "
    "x-not-executed x-server-load x-instance-id x-weight-versions".split()
)
# Number of unknown field names that are logged; targets may send any names.
MAX_LOGGED_FIELDS = 20
# Position of the pace in ``X-Server-Load``, and its value for the usual pace.
_PACE_FIELD = 3
_USUAL_PACE = 100.0
_DECIMAL_NUMBER = re.compile(r"(\d+\.?\d*|\.\d+)(e[+-]?\d+)?", re.ASCII | re.IGNORECASE)


class PlatformDialect(Dialect):
    """Dialect of the users' platform."""

    def __init__(self) -> None:
        self._logged_fields: set[str] = set()

    def read_request(self, headers) -> RequestFields:
        """Parse a caller's fields; malformed ones count as absent."""
        usage = headers.get("X-Token-Usage", "")
        prompt, output = _parse_int_pair(usage)
        hint = _parse_float(headers.get("X-Length-Hint"))
        deadline_ms = _parse_float(headers.get("X-Request-Deadline-Ms"))
        authorization = headers.get("Authorization", "")
        bearer = authorization[: len(_BEARER)].lower() == _BEARER
        prompt_parts = headers.get("X-Prompt-Prefix", "")
        return RequestFields(
            request=headers.get("X-Request-Id", ""),
            key=authorization[len(_BEARER) :].strip() if bearer else "",
            caller_timeout=None if deadline_ms is None else deadline_ms / 1000,
            prompt_tokens=prompt,
            output_tokens=output,
            expected_output=output if hint is None else min(output, int(hint)),
            declares_tokens=bool(usage),
            last_event_id=headers.get("Last-Event-Id", ""),
            prompt_parts=prompt_parts,
            shared_parts=_parse_shared_parts(prompt_parts),
            model=headers.get("X-Model", ""),
            resumed_request=",".join(headers.getall("Resumes", ())),
        )

    def target_request_fields(self, raw, head: TargetRequestHead):
        """Return the caller's end-to-end fields and those that the system adds."""
        fields = [(k, v) for k, v in raw if k.lower() not in _DROPPED_FIELDS]
        milliseconds = max(1, int(head.timeout * 1000))
        fields.append((b"X-Request-Deadline-Ms", str(milliseconds).encode()))
        fields.append((b"X-Target-Instance", head.target.encode()))
        if head.customer:
            fields.append((b"X-Tenant", head.customer.encode()))
        if head.last_event_id:
            fields.append((b"Last-Event-Id", head.last_event_id.encode()))
        return fields

    def read_response(self, status: int, headers) -> TargetResponseHead:
        """Parse a target's fields; log the first use of an unknown one."""
        self._log_unknown_fields(headers)
        rate_limit, malformed_rate_limit = None, ""
        rejection_limit, malformed_rejection_limit = None, ""
        if status != _MISDIRECTED_REQUEST:
            rate_limit, malformed_rate_limit = _parse_rate(headers, "Server-Limit")
            rejection_limit, malformed_rejection_limit = _parse_rate(
                headers, "Server-Brittle"
            )
        load = headers.get("X-Server-Load", "")
        running, waiting = _parse_int_pair(load, -1)
        pace, malformed_pace = 0.0, ""
        if status != _MISDIRECTED_REQUEST:
            pace, malformed_pace = _parse_pace(load)
        return TargetResponseHead(
            request=headers.get("X-Request-Id", ""),
            sealed="X-Response-Seal" in headers,
            not_run="X-Not-Executed" in headers or status == _MISDIRECTED_REQUEST,
            misdirected=status == _MISDIRECTED_REQUEST,
            is_reencoded=headers.get("Content-Encoding", "identity") != "identity",
            running=running,
            waiting=waiting,
            idle_timeout=_parse_keep_alive_timeout(headers.get("Keep-Alive", "")),
            # A misdirected request is answered by another target than the intended one.
            leaving=headers.get("Server-Leaving") == "1"
            and status != _MISDIRECTED_REQUEST,
            retry_after=_parse_retry_after(status, headers),
            rate_limit=rate_limit,
            malformed_rate_limit=malformed_rate_limit,
            rejection_limit=rejection_limit,
            malformed_rejection_limit=malformed_rejection_limit,
            pace=pace,
            malformed_pace=malformed_pace,
        )

    def _log_unknown_fields(self, headers) -> None:
        for name in map(str.lower, headers):
            if (
                name in _KNOWN_TARGET_FIELDS
                or name in self._logged_fields
                or not name.startswith(_TARGET_FIELD_PREFIXES)
                or len(self._logged_fields) >= MAX_LOGGED_FIELDS
            ):
                continue
            self._logged_fields.add(name)
            decision(
                "target-field-unknown",
                field=name,
                value=headers[name],
                request=headers.get("X-Request-Id", ""),
            )

    def caller_response_fields(self, raw):
        """Return the target's fields without hop-by-hop ones."""
        return [
            (k.decode("latin-1"), v.decode("latin-1"))
            for k, v in raw
            if k.lower() not in _HOP_BY_HOP
        ]


def _parse_int_pair(text: str, absent: int = 0) -> tuple[int, int]:
    parts = text.split(",")
    try:
        return int(parts[0]), int(parts[1])
    except (ValueError, IndexError):
        return absent, absent


def _parse_shared_parts(prompt_parts: str) -> tuple[str, ...]:
    """Return the IDs of all ``ID:TOKENS`` entries but the last."""
    *shared, _own = prompt_parts.split(",")
    return tuple(entry.partition(":")[0].strip().lower() for entry in shared)


def _parse_pace(load: str) -> tuple[float, str]:
    """Return the factor in ``X-Server-Load``, 0 if absent, and a malformed value.

    It does not depend on whether the other figures are well-formed.
    """
    parts = load.split(",", _PACE_FIELD + 1)
    if len(parts) <= _PACE_FIELD:
        return 0.0, ""
    text = parts[_PACE_FIELD].strip()
    pace = float(text) / _USUAL_PACE if _DECIMAL_NUMBER.fullmatch(text) else 0.0
    return (pace, "") if is_valid_pace(pace) else (0.0, text or "empty")


def _parse_float(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None


def _parse_retry_after(status: int, headers) -> float:
    """Return the seconds of ``Retry-After`` of a 503 answer; 0 if there are none."""
    if status != _SERVICE_UNAVAILABLE:
        return 0.0
    seconds = _parse_float(headers.get("Retry-After"))
    if seconds is None or not seconds > 0:
        return 0.0
    return min(seconds, MAX_RETRY_AFTER_S)


def _parse_rate(headers, name: str) -> tuple[float | None, str]:
    """Return the requests per second in a field, and a malformed value."""
    values = headers.getall(name, ())
    if not values:
        return None, ""
    text = ",".join(values).strip()
    rate = float(text) if _DECIMAL_NUMBER.fullmatch(text) else math.inf
    return (rate, "") if math.isfinite(rate) else (None, text or "empty")


def _parse_keep_alive_timeout(text: str) -> float:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_float(value) or 0.0
    return 0.0
