"""hibiscusstep.load.mix: load mixes and the recordings drawn from them."""

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
    """Class of requests in a mix."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    share: float = Field(gt=0, description="Relative share of the arrivals.")
    customers: list[str] = Field(min_length=1, description="Drawn from these.")
    tier: str = Field("", description="Tier that the caller requests.")
    model: str = Field("", description="Model, for routes to engines.")
    path: str = Field("", description="Path, for routes to plain services.")
    prompt_tokens: tuple[int, int] = Field((8, 40), description="Least and most.")
    output_tokens: tuple[int, int] = Field((8, 24), description="Least and most.")
    prefixes: int = Field(0, description="Number of shared prefixes; 0 for none.")
    prefix_share: float = Field(0.9, description="Share of a prompt that is prefix.")
    stream: bool = Field(True, description="Answer as server-sent events.")
    keyed: bool = Field(False, description="Send an Idempotency-Key.")
    deadline: float = Field(5.0, description="Seconds until the first token is due.")
    leaves: float = Field(0.0, description="Share of callers that disconnect early.")
    patience: float = Field(1.0, description="Seconds after which they disconnect.")
    retries: int = Field(0, description="Retries of a refused request.")


class Phase(BaseModel):
    """Period with a constant rate of arrivals."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    seconds: float = Field(gt=0, description="Length of the phase.")
    rate: float = Field(ge=0, description="Arrivals per second.")
    only: list[str] = Field([], description="Classes to send; empty for all.")


class Fault(BaseModel):
    """Fault injected at a time."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    at: float = Field(description="Seconds from the start.")
    what: Literal["slow", "dead", "platform-down", "platform-up"] = Field(
        description="Slow a target down or stop it; take the platform down or up."
    )
    target: str = Field("", description="Name of the target.")
    factor: float = Field(3.0, description="Slowdown factor.")


class Mix(BaseModel):
    """Load mix: request classes, phases and faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    deployment: str = Field(description="Example deployment to run on.")
    classes: dict[str, RequestClass] = Field(min_length=1)
    phases: list[Phase] = Field(min_length=1)
    faults: list[Fault] = Field([])
    targets: int = Field(6, description="Targets of each pool.")
    engine_options: list[str] = Field(
        [], description="Options of each engine stand-in."
    )


@dataclass(frozen=True, slots=True)
class Arrival:
    """Request of a caller.

    Parameters
    ----------
    number : int
        Position in the recording.
    at : float
        Seconds from the start.
    kind : str
        Name of its class.
    customer : str
        Customer that sends it.
    spec : RequestClass
        Its class.
    prompt : str
        Text of the prompt, or body of a service call.
    output_tokens : int
        Requested output tokens.
    leaves : bool
        Whether the caller disconnects early.
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
    """Read a mix from a file.

    Raises
    ------
    ConfigurationError
        If the file is invalid; names the key.
    """
    try:
        return Mix.model_validate(merge(read_folder(path)).data)
    except ValidationError as cause:
        first = cause.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        raise ConfigurationError(first["msg"], file=path.name, key=key) from None


def arrivals(mix: Mix, seed: int, rate: float = 1.0, salt: str = "") -> list[Arrival]:
    """Return the recording of a seed, with Poisson arrivals in each phase.

    Parameters
    ----------
    mix : Mix
        Load mix.
    seed : int
        Seed of the random draws.
    rate : float
        Factor on all arrival rates.
    salt : str
        Text added to each prompt and key, so that a replay finds no cached prefixes.
    """
    rng = random.Random(seed)
    recording: list[Arrival] = []
    start = 0.0
    for phase in mix.phases:
        names = phase.only or list(mix.classes)
        shares = [mix.classes[name].share for name in names]
        at = start
        while phase.rate and (at := at + rng.expovariate(phase.rate * rate)) < (
            start + phase.seconds
        ):
            name = rng.choices(names, shares)[0]
            recording.append(
                _make_arrival(
                    rng, len(recording), at, name, mix.classes[name], f"{seed}{salt}"
                )
            )
        start += phase.seconds
    return recording


def _make_arrival(rng, number: int, at: float, kind: str, spec, salt: str) -> Arrival:
    tokens = rng.randint(*spec.prompt_tokens)
    return Arrival(
        number,
        at,
        kind,
        rng.choice(spec.customers),
        spec,
        _make_prompt(rng, number, tokens, spec, f"{kind} {salt}"),
        rng.randint(*spec.output_tokens),
        rng.random() < spec.leaves,
        f"{kind}-{salt}-{number}" if spec.keyed else "",
    )


def _make_prompt(rng, number: int, tokens: int, spec, kind: str) -> str:
    own_text = f"question {number} of {kind}: "
    if not spec.prefixes:
        return _repeat_to_size(own_text, tokens * BYTES_PER_TOKEN)
    prefix_text = f"scene {rng.randrange(spec.prefixes)} of {kind}: "
    longest = int(spec.prompt_tokens[1] * spec.prefix_share) * BYTES_PER_TOKEN
    prefix_bytes = min(longest, int(tokens * spec.prefix_share) * BYTES_PER_TOKEN)
    rest = tokens * BYTES_PER_TOKEN - prefix_bytes
    return _repeat_to_size(prefix_text, prefix_bytes) + _repeat_to_size(own_text, rest)


def _repeat_to_size(text: str, size: int) -> str:
    return (text * (size // len(text) + 1))[: max(size, len(text))]
