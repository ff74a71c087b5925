"""hibiscusstep.admission: authenticates, routes and validates callers' requests."""

import hashlib
import itertools
import uuid
from dataclasses import dataclass, field, replace
from typing import Literal

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hibiscusstep.configuration.models import Configuration, Route, hash_key
from hibiscusstep.problem import Problem
from hibiscusstep.routing.target_estimate import PREFIX_SIZES

__all__ = ["AdmittedRequest", "RequestHead", "admit", "authenticate", "find_route"]

CHAT_PATH = "/v1/chat/completions"
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 128
MAX_KEY_LENGTH = 255
TIER_HEADER = "Hibiscusstep-Tier"


class _Message(BaseModel):
    model_config = ConfigDict(extra="allow")
    role: str
    content: str | list | None = None


class _ChatRequest(BaseModel):
    model_config = ConfigDict(extra="allow")
    model: str = Field(min_length=1)
    messages: list[_Message] = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(None, ge=1)
    n: Literal[1] | None = None


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a caller's HTTP request.

    Parameters
    ----------
    method, path : str
        HTTP method, and path with its query.
    authorization, key, tier, content_type : str
        Header values; ``""`` where absent.
    """

    method: str
    path: str
    authorization: str = ""
    key: str = ""
    tier: str = ""
    content_type: str = "application/json"


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A validated request.

    Parameters
    ----------
    request : str
        Id of the request, which starts with the instance's name.
    customer, route_name, tier : str
        Names.
    rank : int
        Rank of the tier, 0 the highest.
    route : Route
        Settings of its route.
    head : RequestHead
        Method, path and headers.
    body : bytes
        Forwarded unchanged.
    stream : bool
        Whether the caller wants server-sent events.
    prompt_tokens, output_tokens : int
        Estimated numbers of tokens.
    prefixes : tuple of int
        Hashes of the leading parts of the body, shortest first.
    """

    request: str
    customer: str
    route_name: str
    route: Route
    tier: str
    rank: int
    head: RequestHead
    body: bytes = field(repr=False)
    stream: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefixes: tuple[int, ...] = ()

    @property
    def needs_claim(self) -> bool:
        """Whether its key must be claimed before it is dispatched."""
        return bool(self.head.key) and not self.route.idempotent

    @property
    def key_digest(self) -> bytes:
        """Digest of customer and key, 16 bytes; the route may be renamed meanwhile."""
        data = f"{self.customer}\0{self.head.key}".encode()
        return hashlib.blake2b(data, digest_size=16).digest()

    @property
    def body_digest(self) -> bytes:
        """Digest of method, path and body, which a repeat must match; 8 bytes."""
        data = f"{self.head.method} {self.head.path}\0".encode() + self.body
        return hashlib.blake2b(data, digest_size=8).digest()


def authenticate(head: RequestHead, configuration: Configuration) -> str:
    """Return the customer to whom the caller's key belongs.

    Raises
    ------
    Problem
        401 if there is no such customer.
    """
    scheme, _, key = head.authorization.partition(" ")
    customer = configuration.customer_by_key_hash.get(hash_key(key.strip()))
    if scheme.lower() != "bearer" or customer is None:
        raise Problem(401, "unauthorized", "Present a customer's key as Bearer token.")
    return customer


def find_route(head: RequestHead, configuration: Configuration) -> str | None:
    """Return the route of a path, None if the request's model selects it.

    Raises
    ------
    Problem
        404 if there is none, 405 if the method is not allowed.
    """
    path = head.path.partition("?")[0]
    if path == CHAT_PATH:
        if head.method != "POST":
            raise Problem(405, "method-not-allowed", "Use POST.")
        return None
    for prefix, name in configuration.routes_by_path_prefix:
        if path.startswith(prefix):
            return name
    raise Problem(404, "no-route", f"No route serves the path {path[:200]}.")


def admit(
    instance: str,
    customer: str,
    route_name: str | None,
    head: RequestHead,
    body: bytes,
    configuration: Configuration,
) -> AdmittedRequest:
    """Validate a request and return it with its route, tier and estimates.

    Raises
    ------
    Problem
        400, 403, 404 or 413 with the fault in the request, which is not run.
    """
    chat = None
    if route_name is None:
        chat = _parse_chat(body)
        route_name = configuration.route_by_model.get(chat.model)
        if route_name is None:
            raise Problem(404, "no-route", f"No route serves the model {chat.model!r}.")
    route = configuration.routes[route_name]
    _check_key(head, route)
    if len(body) > route.max_body:
        raise Problem(413, "too-large", f"The body is over {route.max_body} bytes.")
    tier = _select_tier(head, customer, route, configuration)
    admitted = AdmittedRequest(
        f"{instance}-{uuid.uuid4().hex}",
        customer,
        route_name,
        route,
        tier,
        configuration.tiers[tier].rank,
        head,
        body,
    )
    return _with_estimates(admitted, chat) if chat else admitted


def _parse_chat(body: bytes) -> _ChatRequest:
    try:
        return _ChatRequest.model_validate_json(body)
    except ValidationError as cause:
        first = cause.errors(include_input=False, include_url=False)[0]
        location = ".".join(str(part) for part in first["loc"]) or "body"
        raise Problem(400, "malformed", f"{location}: {first['msg']}"[:300]) from None


def _check_key(head: RequestHead, route: Route) -> None:
    if route.key == "required" and not head.key:
        detail = "This route needs an Idempotency-Key header; it was not run."
        raise Problem(400, "key-required", detail)
    if len(head.key) > MAX_KEY_LENGTH:
        detail = f"The Idempotency-Key is over {MAX_KEY_LENGTH} characters."
        raise Problem(400, "malformed", detail)


def _select_tier(head, customer: str, route: Route, configuration) -> str:
    settings = configuration.customers[customer]
    allowed = {settings.tier, *settings.tiers}
    if head.tier and head.tier not in allowed:
        detail = f"Tier {head.tier[:80]!r} is not among {', '.join(sorted(allowed))}."
        raise Problem(403, "tier-not-allowed", detail)
    return head.tier or route.tier or settings.tier


def _with_estimates(admitted: AdmittedRequest, chat: _ChatRequest) -> AdmittedRequest:
    texts = [str(message.content or "") for message in chat.messages]
    prompt = "\n".join(texts).encode()
    return replace(
        admitted,
        stream=chat.stream,
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        output_tokens=chat.max_tokens or DEFAULT_OUTPUT_TOKENS,
        prefixes=tuple(_prefix_hashes(prompt)),
    )


def _prefix_hashes(prompt: bytes):
    sizes = (size * BYTES_PER_TOKEN for size in PREFIX_SIZES)
    hasher, hashed = xxhash.xxh64(), 0
    for size in itertools.takewhile(lambda size: size <= len(prompt), sizes):
        hasher.update(prompt[hashed:size])
        hashed = size
        yield hasher.intdigest() >> 1
