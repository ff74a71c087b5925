"""hibiscusstep.configuration.settings: the settings of one process."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hibiscusstep.configuration.folder import merge, read_folder
from hibiscusstep.errors import ConfigurationError

__all__ = ["Settings", "load_settings"]

ListenAddress = Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:\d{1,5}$")]


class Settings(BaseModel):
    """Settings of one instance, merged from the files of its folder."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$", description="Instance.")
    data_centre: str = Field(description="Data centre where the instance runs.")
    region: str = Field("default", description="Its data centres work together.")
    caller_address: ListenAddress = Field(description="Where callers connect.")
    operator_address: ListenAddress = Field(
        description="Metrics, health, status, explain."
    )
    peer_address: ListenAddress = Field(description="Where other instances connect.")
    platform: str = Field(description="URL of the platform's object service.")
    platform_dialect: str = Field("http", description="Dialect of the platform.")
    peer_key: str = Field(min_length=16, description="Secret shared by the instances.")
    operator_key: str = Field(min_length=16, description="Secret of the operators.")
    seeds: list[ListenAddress] = Field(
        [], description="Peer addresses asked where the platform is away."
    )
    log_style: Literal["auto", "human", "json"] = Field("auto", description="Log form.")
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        "INFO", description="Lowest level written."
    )
    history: str = Field("", description="Folder for recorded events; empty is off.")
    heartbeat_interval: float = Field(
        1.0, gt=0, le=10, description="Seconds between heartbeats."
    )
    suspect_after: float = Field(
        3.5, gt=0, le=60, description="Seconds of silence after which a peer is gone."
    )
    watchers: int = Field(
        2,
        ge=1,
        le=16,
        description="Instances of a data centre that watch the platform.",
    )
    drain_timeout: float = Field(
        600.0, gt=0, description="Seconds SIGTERM waits for running answers."
    )
    max_open_requests: int = Field(
        10_000, ge=1, description="Callers' requests held at once."
    )
    body_timeout: float = Field(
        20.0, gt=0, description="Seconds for a caller to send its body."
    )
    max_header_bytes: int = Field(
        16384, ge=1024, description="Size of a request's head; more gets 431."
    )
    header_timeout: float = Field(
        10.0, gt=0, description="Seconds for a caller to send its head; then 408."
    )
    idle_timeout: float = Field(
        75.0, gt=0, description="Seconds a connection may wait for a request."
    )
    max_body_bytes_held: int = Field(
        256 << 20, ge=1 << 20, description="Memory for bodies of callers' requests."
    )
    max_descriptors: int = Field(
        0, ge=0, description="Descriptors of the process; 0 for what is allowed."
    )
    retry_share: float = Field(
        0.2, ge=0, le=1, description="Repeats after failures for each request."
    )
    kept_answer_bytes: int = Field(
        8 << 20, ge=0, description="Memory for answers kept for repeated keys."
    )
    claims_enabled: bool = Field(
        True, description="Off only to show what claims prevent; never in service."
    )
    tier_guard_enabled: bool = Field(
        True, description="Off only to show what the tier order prevents."
    )


def load_settings(path: Path) -> Settings:
    """Return the settings merged from a folder of files or from one file.

    Raises
    ------
    ConfigurationError
        Names file, key and fix.
    """
    merged = merge(read_folder(path))
    try:
        return Settings.model_validate(merged.data)
    except ValidationError as cause:
        first = cause.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        detail = first["msg"]
        if first["type"] == "extra_forbidden":
            detail = "unknown key; remove it or see docs/CONFIGURATION.md"
        file = merged.origin(key) or str(path)
        raise ConfigurationError(detail, file=file, key=key) from None
