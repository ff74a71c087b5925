"""hibiscusstep.load.mix: what arrives when, from a file and a seed."""

import random
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hibiscusstep.configuration.folder import merge, read_folder
from hibiscusstep.errors import ConfigurationError

__all__ = ["Arrival", "Mix", "RequestClass", "arrivals", "load_mix"]

BYTES_PER_TOKEN = 4


class RequestClass(BaseModel):
    """One kind of request in a mix."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    share: float = Field(gt=0, description="Relative share of the arrivals.")
    customers: list[str] = Field(min_length=1, description="Drawn from these.")
    tier: str = Field("", description="Tier named by the caller.")
    model: str = Field("", description="Model, for engines.")
    path: str = Field("", description="Path, for plain services.")
    prompt_tokens: tuple[int, int] = Field((8, 40), description="Least and most.")
    output_tokens: tuple[int, int] = Field((8, 24), description="Least and most.")
    prefixes: int = Field(0, description="Shared prefixes drawn from; 0 for none.")
    prefix_share: float = Field(0.9, description="Share of the prompt they make up.")
    stream: bool = Field(True, description="Server-sent events.")
    keyed: bool = Field(False, description="With an Idempotency-Key.")
    deadline: float = Field(5.0, description="Seconds in which the first token is due.")
    leaves: float = Field(0.0, description="Share of callers who leave early.")
    patience: float = Field(1.0, description="Seconds after which those leave.")
    retries: int = Field(0, description="Times a refused caller comes back.")


class Phase(BaseModel):
    """A stretch of time with a rate of arrivals."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    seconds: float = Field(gt=0, description="How long.")
    rate: float = Field(ge=0, description="Arrivals a second.")
    only: list[str] = Field([], description="Classes; empty for all.")


class Fault(BaseModel):
    """Something that goes wrong at a time."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    at: float = Field(description="Seconds from the start.")
    what: Literal["slow", "dead", "platform-down", "platform-up"] = Field(
        description="Slow a target, let it die; take the platform down or up."
    )
    target: str = Field("", description="Which target.")
    factor: float = Field(3.0, description="How much slower.")


class Mix(BaseModel):
    """A recorded kind of day."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    deployment: str = Field(description="Example that it runs on.")
    classes: dict[str, RequestClass] = Field(min_length=1)
    phases: list[Phase] = Field(min_length=1)
    faults: list[Fault] = Field([])
    targets: int = Field(6, description="Targets of each pool.")
    engine_options: list[str] = Field([], description="Of each engine stand-in.")


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller.

    Parameters
    ----------
    number : int
        Position in the recording.
    at : float
        Seconds from the start.
    kind : str
        Its class.
    customer : str
        Who sends it.
    spec : RequestClass
        What it is like.
    prompt : str
        Text of the prompt, or body of a service call.
    output_tokens : int
        Tokens asked for.
    leaves : bool
        Whether the caller leaves early.
    key : str
        Idempotency key, or ``""``.
    """

    number: int
    at: float
    kind: str
    customer: str
    spec: RequestClass
    prompt: str
    output_tokens: int
    leaves: bool
    key: str


def load_mix(path: Path) -> Mix:
    """Return a mix from a file.

    Raises
    ------
    ConfigurationError
        Names the key that is wrong.
    """
    try:
        return Mix.model_validate(merge(read_folder(path)).data)
    except ValidationError as cause:
        first = cause.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        raise ConfigurationError(first["msg"], file=path.name, key=key) from None


def arrivals(mix: Mix, seed: int, rate: float = 1.0, salt: str = "") -> list[Arrival]:
    """Return the recording that a seed makes: Poisson arrivals, phase by phase.

    Parameters
    ----------
    mix : Mix
        What arrives.
    seed : int
        Of the random draws.
    rate : float
        Factor on all rates.
    salt : str
        Stands in every prompt and key, so that a replay finds no warm cache.
    """
    draw = random.Random(seed)
    made: list[Arrival] = []
    start = 0.0
    for phase in mix.phases:
        names = phase.only or list(mix.classes)
        shares = [mix.classes[name].share for name in names]
        at = start
        while phase.rate and (at := at + draw.expovariate(phase.rate * rate)) < (
            start + phase.seconds
        ):
            name = draw.choices(names, shares)[0]
            made.append(
                _arrival(draw, len(made), at, name, mix.classes[name], f"{seed}{salt}")
            )
        start += phase.seconds
    return made


def _arrival(draw, number: int, at: float, kind: str, spec, salt: str) -> Arrival:
    tokens = draw.randint(*spec.prompt_tokens)
    return Arrival(
        number,
        at,
        kind,
        draw.choice(spec.customers),
        spec,
        _prompt(draw, number, tokens, spec, f"{kind} {salt}"),
        draw.randint(*spec.output_tokens),
        draw.random() < spec.leaves,
        f"{kind}-{salt}-{number}" if spec.keyed else "",
    )


def _prompt(draw, number: int, tokens: int, spec, kind: str) -> str:
    own = f"question {number} of {kind}: "
    if not spec.prefixes:
        return _fill(own, tokens * BYTES_PER_TOKEN)
    shared = f"scene {draw.randrange(spec.prefixes)} of {kind}: "
    longest = int(spec.prompt_tokens[1] * spec.prefix_share) * BYTES_PER_TOKEN
    prefix_bytes = min(longest, int(tokens * spec.prefix_share) * BYTES_PER_TOKEN)
    rest = tokens * BYTES_PER_TOKEN - prefix_bytes
    return _fill(shared, prefix_bytes) + _fill(own, rest)


def _fill(text: str, size: int) -> str:
    return (text * (size // len(text) + 1))[: max(size, len(text))]
