"""hibiscusstep.configuration.stored: the one object that holds the configuration."""

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from hibiscusstep.configuration.models import Configuration, load_configuration
from hibiscusstep.errors import ConfigurationError

__all__ = ["CONFIGURATION_KEY", "Stored"]

CONFIGURATION_KEY = "hibiscusstep/configuration"


class Stored(BaseModel):
    """What operators wrote, file by file, so that a change is atomic.

    Parameters
    ----------
    files : dict of str to str
        File name to text.
    drained : list of str
        Targets that take no new work.
    change, author, changed : str
        Id of the last change, who made it, and the author by file.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    files: dict[str, str] = {}
    drained: list[str] = []
    change: str = ""
    author: str = ""
    changed: dict[str, str] = {}

    @classmethod
    def parse(cls, value: bytes) -> "Stored":
        """Return the object that bytes hold.

        Raises
        ------
        ConfigurationError
            If they hold none.
        """
        try:
            return cls.model_validate_json(value)
        except ValidationError as cause:
            detail = f"not a configuration: {cause.errors()[0]['msg']}"
            raise ConfigurationError(detail, file=CONFIGURATION_KEY) from None

    def to_bytes(self) -> bytes:
        """Return the object as bytes."""
        return orjson.dumps(self.model_dump(), option=orjson.OPT_SORT_KEYS)

    def load(self) -> Configuration:
        """Return the checked configuration, with the drained targets marked."""
        texts = dict(self.files)
        configuration, _merged = load_configuration(texts)
        marks = {
            pool_name: {"targets": {name: {"drained": True} for name in names}}
            for pool_name, pool in configuration.pools.items()
            if (names := [name for name in pool.targets if name in self.drained])
        }
        if not marks:
            return configuration
        texts["~drained.json"] = orjson.dumps({"pools": marks}).decode()
        return load_configuration(texts)[0]
