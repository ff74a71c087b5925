"""hibiscusstep.configuration.models: validated models of operators' files."""

import hashlib
import itertools
from functools import cached_property
from typing import Annotated, Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from hibiscusstep.configuration.folder import MergedFiles, merge
from hibiscusstep.errors import ConfigurationError, UnknownName
from hibiscusstep.policy import get_policy_by_name

__all__ = [
    "ClaimSettings",
    "Configuration",
    "Customer",
    "Pool",
    "Route",
    "SheddingRule",
    "Target",
    "Tier",
    "hash_key",
    "load_configuration",
]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:\d{1,5}$")]
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


def hash_key(key: str) -> str:
    """Return the stored form of a customer's key: SHA-256 in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


class _StrictModel(BaseModel):
    model_config = ConfigDict(
        extra="forbid", frozen=True, ignored_types=(cached_property,)
    )


class Tier(_StrictModel):
    """A priority class of requests."""

    rank: int = Field(ge=0, description="0 is the highest tier; ranks differ.")


class Customer(_StrictModel):
    """A customer, which sends requests."""

    key_hashes: list[KeyHash] = Field(
        min_length=1, description="SHA-256 of each key the customer may present."
    )
    tier: Name = Field(description="Tier where the caller names none.")
    tiers: list[Name] = Field([], description="Other tiers the caller may name.")
    weight: float = Field(
        1.0, gt=0, le=1000, description="Share of a pool among customers of a tier."
    )
    max_waiting: int = Field(
        1000, ge=1, description="Requests that may wait in one pool at once."
    )
    max_running: int = Field(
        1000, ge=1, description="Requests that may run in one pool at once."
    )


class Target(_StrictModel):
    """One engine or service process."""

    address: Address = Field(description="IP number and port.")
    data_centre: Name = Field(description="Data centre where it runs.")
    max_running: int = Field(8, ge=1, description="Requests that may run at once.")
    prefill_rate: float = Field(
        4000.0, gt=0, description="First guess, prompt tokens a second; then learnt."
    )
    decode_rate: float = Field(
        40.0, gt=0, description="First guess, tokens a second per stream; then learnt."
    )
    drained: bool = Field(False, description="Takes no new work.")


class Pool(_StrictModel):
    """A group of interchangeable targets."""

    kind: Literal["engine", "service"] = Field(description="Dialect of the targets.")
    policy: str = Field("expected-work", description="Placement policy, by name.")
    targets: dict[Name, Target] = Field(min_length=1, description="Targets by name.")
    max_waiting: int = Field(10_000, ge=1, description="Requests that may wait.")

    @model_validator(mode="after")
    def _check_policy(self) -> "Pool":
        try:
            get_policy_by_name(self.policy)
        except UnknownName as cause:
            raise ValueError(f"policy: {cause.detail}") from None
        return self


class Route(_StrictModel):
    """Rule that selects requests for a pool and sets how they are handled."""

    pool: Name = Field(description="Pool that serves the route.")
    model: str = Field("", description="Model named in the request (engine pools).")
    path: str = Field("", description="Path prefix (service pools), such as /billing/.")
    idempotent: bool = Field(description="Whether a request may run twice.")
    key: Literal["required", "optional", "none"] = Field(
        "optional", description="Whether an Idempotency-Key must be there."
    )
    tier: Name | None = Field(None, description="Tier instead of the customer's.")
    deadline: float = Field(
        30.0, gt=0, le=3600, description="Seconds until the first byte of the answer."
    )
    answer_timeout: float = Field(
        600.0, gt=0, le=86400, description="Seconds until the end of the answer."
    )
    max_body: int = Field(
        4 << 20, ge=1, le=64 << 20, description="Bytes of a request's body."
    )
    max_attempts: int = Field(
        3, ge=1, le=10, description="Targets tried where a repeat is allowed."
    )

    @model_validator(mode="after")
    def _check_selector(self) -> "Route":
        if bool(self.model) == bool(self.path):
            raise ValueError("give either model or path")
        if not self.idempotent and self.key == "none":
            raise ValueError(
                "key: none needs idempotent: true; use optional or required"
            )
        return self


class SheddingRule(_StrictModel):
    """Actions that are allowed on the requests of a tier under overload."""

    may_be_shed: bool = Field(True, description="Waiting requests may be refused.")
    may_be_stopped: bool = Field(
        False,
        description="Running idempotent requests may be stopped for a higher tier.",
    )


_DEFAULT_SHEDDING_RULE = SheddingRule()


class ClaimSettings(_StrictModel):
    """Storage of the idempotency keys of requests."""

    shards: int = Field(
        16,
        ge=1,
        le=512,
        description="Objects written in parallel; never changed later.",
    )
    retention: float = Field(
        86_400.0, ge=1.0, description="Seconds for which a key is remembered."
    )
    writes_per_second: float = Field(
        160.0, gt=0, description="Bound on claim writes of the whole system."
    )
    timeout: float = Field(
        2.0, gt=0, description="Seconds a request waits for its claim."
    )


class Configuration(_StrictModel):
    """The whole configuration set by operators."""

    tiers: dict[Name, Tier] = Field(min_length=1, description="Tiers by name.")
    customers: dict[Name, Customer] = Field({}, description="Customers by name.")
    pools: dict[Name, Pool] = Field({}, description="Target pools by name.")
    routes: dict[Name, Route] = Field({}, description="Routes by name.")
    shedding: dict[Name, SheddingRule] = Field({}, description="Rules by tier.")
    claims: ClaimSettings = Field(ClaimSettings(), description="Keeping of keys.")

    @cached_property
    def customer_by_key_hash(self) -> dict[str, str]:
        """Customer names by key hash."""
        return {
            key_hash: name
            for name, customer in self.customers.items()
            for key_hash in customer.key_hashes
        }

    @cached_property
    def route_by_model(self) -> dict[str, str]:
        """Route names by model."""
        return {route.model: name for name, route in self.routes.items() if route.model}

    @cached_property
    def routes_by_path_prefix(self) -> list[tuple[str, str]]:
        """Pairs of path prefix and route name, longest prefix first."""
        pairs = (
            (route.path, name) for name, route in self.routes.items() if route.path
        )
        return sorted(pairs, key=lambda pair: -len(pair[0]))

    def check_successor(self, successor: "Configuration") -> None:
        """Check that a new configuration keeps the number of claim shards.

        With another number, claimed keys would be looked up in other shards.

        Raises
        ------
        ConfigurationError
            If the number changes.
        """
        if successor.claims.shards != self.claims.shards:
            raise ConfigurationError(
                f"is {self.claims.shards} and cannot change: requests whose keys are "
                "claimed would run again",
                key="claims.shards",
            )

    def shedding_rule(self, tier: str) -> SheddingRule:
        """Return the shedding rule of a tier, or the default rule."""
        return self.shedding.get(tier, _DEFAULT_SHEDDING_RULE)


def load_configuration(texts: dict[str, str]) -> tuple[Configuration, MergedFiles]:
    """Return the validated configuration of a folder's files, and the merged files.

    Parameters
    ----------
    texts : dict of str to str
        Texts by file name.

    Raises
    ------
    ConfigurationError
        Names file, key and fix of the first error.
    """
    merged = merge(texts)
    try:
        configuration = Configuration.model_validate_json(orjson.dumps(merged.data))
    except (ValidationError, TypeError) as cause:
        raise _to_configuration_error(cause, merged) from None
    for key, detail in _find_problems(configuration):
        raise ConfigurationError(detail, file=merged.origin(key), key=key)
    return configuration, merged


def _to_configuration_error(
    cause: Exception, merged: MergedFiles
) -> ConfigurationError:
    if not isinstance(cause, ValidationError):
        return ConfigurationError(f"cannot be read as JSON: {cause}")
    first = cause.errors()[0]
    key = ".".join(str(part) for part in first["loc"] if part != "[key]")
    detail = first["msg"].removeprefix("Value error, ")
    if first["type"] == "extra_forbidden":
        detail = "unknown key; remove it or see docs/CONFIGURATION.md"
    return ConfigurationError(detail, file=merged.origin(key), key=key)


def _find_problems(configuration: Configuration):
    yield from _find_duplicates(configuration)
    yield from _find_dangling_references(configuration)
    yield from _find_misordered_shedding(configuration)


def _find_duplicates(configuration: Configuration):
    ranks = {
        f"tiers.{name}.rank": tier.rank for name, tier in configuration.tiers.items()
    }
    yield from _find_repeated_values(ranks, "rank")
    hashes = {
        f"customers.{name}.key_hashes.{number}": key_hash
        for name, customer in configuration.customers.items()
        for number, key_hash in enumerate(customer.key_hashes)
    }
    yield from _find_repeated_values(hashes, "key")
    addresses = {
        f"pools.{pool_name}.targets.{name}.address": target.address
        for pool_name, pool in configuration.pools.items()
        for name, target in pool.targets.items()
    }
    yield from _find_repeated_values(addresses, "address")
    names = {
        f"pools.{pool_name}.targets.{name}": name
        for pool_name, pool in configuration.pools.items()
        for name in pool.targets
    }
    yield from _find_repeated_values(names, "target name")
    for selector in ("model", "path"):
        selectors = {
            f"routes.{name}.{selector}": value
            for name, route in configuration.routes.items()
            if (value := getattr(route, selector))
        }
        yield from _find_repeated_values(selectors, selector)


def _find_repeated_values(values: dict, what: str):
    first: dict = {}
    for key, value in values.items():
        if value in first:
            yield key, f"the same {what} as {first[value]}; give each its own"
        first.setdefault(value, key)


def _find_dangling_references(configuration: Configuration):
    tiers, pools = configuration.tiers, configuration.pools
    references = itertools.chain(
        (
            (f"customers.{name}.tier", tier, tiers)
            for name, customer in configuration.customers.items()
            for tier in (customer.tier, *customer.tiers)
        ),
        (
            (f"routes.{name}.tier", route.tier, tiers)
            for name, route in configuration.routes.items()
            if route.tier
        ),
        (
            (f"routes.{name}.pool", route.pool, pools)
            for name, route in configuration.routes.items()
        ),
        ((f"shedding.{name}", name, tiers) for name in configuration.shedding),
    )
    for key, name, known in references:
        if name not in known:
            choices = ", ".join(sorted(known)) or "none is defined"
            yield key, f"names {name!r}, which does not exist; choose from {choices}"
    for name, route in configuration.routes.items():
        pool = pools.get(route.pool)
        if pool and (pool.kind == "engine") != bool(route.model):
            yield f"routes.{name}", f"pool {route.pool!r} is of kind {pool.kind!r}"


def _find_misordered_shedding(configuration: Configuration):
    ordered = sorted(
        configuration.tiers, key=lambda name: configuration.tiers[name].rank
    )
    for higher, lower in itertools.combinations(ordered, 2):
        for permission in ("may_be_shed", "may_be_stopped"):
            allowed_for_higher = getattr(
                configuration.shedding_rule(higher), permission
            )
            if allowed_for_higher and not getattr(
                configuration.shedding_rule(lower), permission
            ):
                yield (
                    f"shedding.{lower}.{permission}",
                    f"tier {higher!r} could be shed or stopped before the lower "
                    f"{lower!r}; set {permission}: true here or false there",
                )
