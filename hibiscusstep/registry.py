"""hibiscusstep.registry: lookup of classes by name or alias."""

from hibiscusstep.errors import UnknownName

__all__ = ["Registry"]


class Registry:
    """Maps names and aliases to classes.

    Parameters
    ----------
    kind : str
        Kind of the classes, for the error message.
    classes : sequence of type
        Each has a ``name`` (str) and may have ``aliases`` (tuple of str).
    """

    def __init__(self, kind: str, classes) -> None:
        self._kind = kind
        self._by_name = {
            name: cls
            for cls in classes
            for name in (cls.name, *getattr(cls, "aliases", ()))
        }

    @property
    def names(self) -> list[str]:
        """All names and aliases, sorted."""
        return sorted(self._by_name)

    @property
    def primary_names(self) -> list[str]:
        """All names without aliases, sorted."""
        return sorted({cls.name for cls in self._by_name.values()})

    def get(self, name: str) -> type:
        """Return the class of a name or alias.

        Raises
        ------
        UnknownName
            If no class has this name; the error lists the choices.
        """
        try:
            return self._by_name[name]
        except KeyError:
            raise UnknownName(self._kind, name, self._by_name) from None
