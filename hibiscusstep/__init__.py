"""hibiscusstep: a request scheduler for unlike engines."""

__all__ = ["__version__"]

__version__ = "0.1.0"
