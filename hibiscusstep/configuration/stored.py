"""hibiscusstep.configuration.stored: the stored object with the configuration."""

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from hibiscusstep.configuration.models import Configuration, load_configuration
from hibiscusstep.errors import ConfigurationError

__all__ = ["CONFIGURATION_KEY", "StoredConfiguration"]

CONFIGURATION_KEY = "hibiscusstep/configuration"


class StoredConfiguration(BaseModel):
    """All configuration files in one object, so that a change is atomic.

    Parameters
    ----------
    files : dict of str to str
        Texts by file name.
    drained : list of str
        Names of the targets that get no new work.
    change, author : str
        Id and author of the last change.
    changed : dict of str to str
        Author of the last change by file name.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    files: dict[str, str] = {}
    drained: list[str] = []
    change: str = ""
    author: str = ""
    changed: dict[str, str] = {}

    @classmethod
    def parse(cls, value: bytes) -> "StoredConfiguration":
        """Return the object that is encoded in bytes.

        Raises
        ------
        ConfigurationError
            If the bytes are not such an object.
        """
        try:
            return cls.model_validate_json(value)
        except ValidationError as cause:
            detail = f"not a configuration: {cause.errors()[0]['msg']}"
            raise ConfigurationError(detail, file=CONFIGURATION_KEY) from None

    def to_bytes(self) -> bytes:
        """Return the object encoded as bytes."""
        return orjson.dumps(self.model_dump(), option=orjson.OPT_SORT_KEYS)

    def load(self) -> Configuration:
        """Return the validated configuration with the drained targets marked."""
        texts = dict(self.files)
        configuration, _merged = load_configuration(texts)
        overlay = {
            pool_name: {"targets": {name: {"drained": True} for name in names}}
            for pool_name, pool in configuration.pools.items()
            if (names := [name for name in pool.targets if name in self.drained])
        }
        if not overlay:
            return configuration
        texts["~drained.json"] = orjson.dumps({"pools": overlay}).decode()
        return load_configuration(texts)[0]
