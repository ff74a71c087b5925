"""hibiscusstep: a request scheduler for heterogeneous engines."""

__all__ = ["__version__"]

__version__ = "0.1.0"
