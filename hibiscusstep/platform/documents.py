"""hibiscusstep.platform.documents: decoding of the store's documents."""

import logging
import time
from dataclasses import replace

import orjson

from hibiscusstep.errors import ConfigurationError
from hibiscusstep.forwarding.model import (
    CustomerRule,
    DiscoveredTarget,
    ForwardRoute,
    PoolRule,
    PoolShare,
    Quota,
    RetryMode,
    RoutingTable,
)
from hibiscusstep.http_server.limits import IngressLimits
from hibiscusstep.platform import fields as f
from hibiscusstep.rollout.order import RolloutOrder, RolloutState

__all__ = [
    "CONFIGURATION_KIND",
    "ROLLOUT_KIND",
    "TARGET_KIND",
    "TargetDecoder",
    "decode_rollout",
    "decode_table",
    "decode_target",
    "rollout_status",
]

_LOG = logging.getLogger(__name__)

CONFIGURATION_KIND = "config"
TARGET_KIND = "servers"
ROLLOUT_KIND = "rollouts"
CONFIGURATION_NAME = "main"
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_OBJECTIVE_MS = 1_000
DEFAULT_PAUSE_MS = 1_000
LOWEST_RANK = 9
# A target with a larger value would attract all work; engines batch a few dozen.
MAX_SLOTS = 4096
_READY_STATE, _LEAVING_STATE = "ready", "draining"
# Clocks of machines differ by seconds, and jump by as much.
MAX_CLOCK_AHEAD_MS = 60_000
# Targets whose ignored starts are remembered.
MAX_IGNORED_STARTS = 10_000
# A longer duration indicates a wrong unit.
MAX_ROLLOUT_S = 7 * 86_400.0
MIN_ROLLOUT_S = 1.0
_ROLLOUT_STATES = {
    "running": RolloutState.RUNNING,
    "completed": RolloutState.COMPLETED,
    "rolled_back": RolloutState.ROLLED_BACK,
}


def decode_table(name: str, revision: int, spec: dict, status: dict) -> RoutingTable:
    """Return the configuration of an object in the store.

    Raises
    ------
    ConfigurationError
        If it is malformed.
    """
    if name != CONFIGURATION_NAME:
        raise ConfigurationError("unexpected object name", key=name)
    return decode_table_spec(spec)


def decode_table_bytes(value: bytes) -> RoutingTable:
    """Return the configuration that a peer sent.

    Raises
    ------
    ConfigurationError
        If it is malformed.
    """
    try:
        return decode_table_spec(orjson.loads(value))
    except orjson.JSONDecodeError as cause:
        raise ConfigurationError(str(cause)) from None


def decode_table_spec(spec: dict) -> RoutingTable:
    """Return the configuration of a document.

    Raises
    ------
    ConfigurationError
        If a field is missing or of another type.
    """
    try:
        document = orjson.dumps(spec)
        if orjson.loads(document) != spec:
            raise ValueError("a number is not finite")
        return RoutingTable(
            version=int(spec["Version"]),
            routes=tuple(_decode_route(entry) for entry in spec.get("Routes") or ()),
            customers=tuple(
                _decode_customer(entry) for entry in spec.get("Tenants") or ()
            ),
            pools=tuple(_decode_pool(entry) for entry in spec.get("Services") or ()),
            limits=_decode_limits(spec.get("Limits") or {}),
            document=document,
        )
    except f.MALFORMED_ERRORS as cause:
        raise ConfigurationError(f"malformed: {cause!r}", key="config") from None


def decode_target(
    name: str, revision: int, spec: dict, status: dict
) -> DiscoveredTarget:
    """Return the target of an entry that the target itself wrote.

    Raises
    ------
    MalformedField
        If it is not such an entry, since others write to the store too. Fields that are
        not used here are checked as well, because they identify the writer.
    """
    entry = {**spec, **status}
    f.read_float(entry, "ColdLeftMs")
    f.read_int(entry, "Sequence")
    return DiscoveredTarget(
        id=f.read_id({"Name": name}, "Name"),
        pool=f.read_text(entry, "Service"),
        address=f.read_address(entry, "Address"),
        data_centre=f.read_text(entry, "Zone"),
        slots=f.read_int(entry, "Slots", least=1, most=MAX_SLOTS),
        leaving=f.read_choice(entry, "State", (_READY_STATE, _LEAVING_STATE))
        == _LEAVING_STATE,
        revision=revision,
        # `born`, the start time in milliseconds, changes at each restart.
        incarnation=f.read_int(entry, "born", least=1) if "born" in entry else 0,
        version=f.read_text(entry, "Version"),
    )


class TargetDecoder:
    """Decodes entries of targets; a start in the future counts as not given.

    A later start with the right time would seem to be an earlier one. A start that was
    ignored once stays ignored when its time has come, so that the target does not seem
    to start again.
    """

    def __init__(self) -> None:
        # By name, the start times that are ignored, in milliseconds.
        self._ignored_starts: dict[str, int] = {}

    def __call__(
        self, name: str, revision: int, spec: dict, status: dict
    ) -> DiscoveredTarget:
        """Return the target of an entry; see `decode_target`."""
        target = decode_target(name, revision, spec, status)
        born = target.incarnation
        if not born:
            return target
        if self._ignored_starts.get(name) != born:
            if born <= time.time() * 1000 + MAX_CLOCK_AHEAD_MS:
                self._ignored_starts.pop(name, None)
                return target
            if len(self._ignored_starts) >= MAX_IGNORED_STARTS:
                del self._ignored_starts[next(iter(self._ignored_starts))]
            self._ignored_starts[name] = born
            extra = {"object": name, "revision": revision, "born": born}
            _LOG.error("start time ignored", extra=extra)
        return replace(target, incarnation=0)


def decode_rollout(name: str, revision: int, spec: dict, status: dict) -> RolloutOrder:
    """Return an operator's order to move a pool's traffic to a version.

    A status that cannot be decoded counts as missing and is written again.

    Raises
    ------
    MalformedField
        If a field is malformed or the duration is not between 1 s and a week.
    """
    pool = f.read_text(spec, "Service")
    if pool != name:
        raise f.MalformedField(
            "Service", f"differs from the name of the order: {name!r}"
        )
    duration = f.read_float(spec, "DurationS")
    if not MIN_ROLLOUT_S <= duration <= MAX_ROLLOUT_S:
        limits = f"{MIN_ROLLOUT_S:g} to {MAX_ROLLOUT_S:g}"
        raise f.MalformedField("DurationS", f"must be within {limits} seconds")
    state, state_version = _decode_rollout_state(status)
    version = f.read_text(spec, "To")
    return RolloutOrder(pool, version, duration, revision, state, state_version)


def _decode_rollout_state(status: dict) -> tuple[RolloutState | None, str]:
    try:
        state = f.read_choice(status, "State", _ROLLOUT_STATES)
        return _ROLLOUT_STATES[state], f.read_text(status, "To")
    except f.MalformedField:
        return None, ""


def rollout_status(version: str, state: RolloutState) -> dict:
    """Return the status document of a rollout order."""
    names = {value: name for name, value in _ROLLOUT_STATES.items()}
    return {"State": names[state], "To": version}


def _decode_route(entry: dict) -> ForwardRoute:
    split = entry.get("TrafficSplit") or [
        {"Service": entry.get("Service"), "Weight": 1}
    ]
    shares = tuple(PoolShare(part["Service"], float(part["Weight"])) for part in split)
    kind = entry.get("Kind", "unsafe")
    return ForwardRoute(
        name=entry["Name"],
        host=entry["Host"].lower(),
        prefix=entry["PathPrefix"],
        shares=tuple(share for share in shares if share.weight > 0) or shares[:1],
        streaming=kind == "streaming",
        retry_mode=_decode_retry_mode(kind, bool(entry.get("Resumable"))),
        timeout=float(entry.get("TimeoutMs") or DEFAULT_TIMEOUT_MS) / 1000,
        objective=float(entry.get("TargetLatencyMs") or DEFAULT_OBJECTIVE_MS) / 1000,
        rank=int(entry.get("Priority", LOWEST_RANK)),
        max_attempts=max(1, int(entry.get("MaxAttempts") or 1)),
        public=bool(entry.get("Public")),
        max_pause=float(entry.get("TargetGapMs") or DEFAULT_PAUSE_MS) / 1000,
    )


def _decode_retry_mode(kind: str, resumable: bool) -> RetryMode:
    if kind == "safe":
        return RetryMode.FROM_START
    return RetryMode.RESUME if kind == "streaming" and resumable else RetryMode.NEVER


def _decode_customer(entry: dict) -> CustomerRule:
    quota = Quota(
        rate=float(entry.get("RatePerS") or 0),
        burst=float(entry.get("Burst") or 0),
        default_tokens=int(entry.get("PlainTokens") or 0),
    )
    rank = entry.get("Priority")
    return CustomerRule(
        name=entry["Name"],
        keys=frozenset(entry.get("ApiKeys") or ()),
        rank=None if rank is None else int(rank),
        quota=quota,
    )


def _decode_pool(entry: dict) -> PoolRule:
    return PoolRule(
        name=entry["Name"],
        is_engine=bool(entry.get("Engine")),
        tokens_per_event=int((entry.get("Engine") or {}).get("Stride") or 1),
        max_connections=int(entry.get("MaxConns") or 0),
        memory_tokens=int((entry.get("Engine") or {}).get("KvCapacity") or 0),
    )


def _decode_limits(entry: dict) -> IngressLimits:
    default = IngressLimits()
    return IngressLimits(
        int(entry.get("MaxHeaderBytes") or default.max_header_bytes),
        int(entry.get("MaxBodyBytes") or default.max_body_bytes),
        float(entry.get("HeaderTimeoutMs") or default.header_timeout * 1000) / 1000,
        float(entry.get("IdleTimeoutMs") or default.idle_timeout * 1000) / 1000,
    )
