"""hibiscusstep.forwarding.saved_values: validated values of saved documents.

Others write to the store too. A value out of range would be accepted here and end the
worker that writes it again, or the peer that receives it.
"""

import math

__all__ = ["MAX_COUNT", "to_count", "to_finite", "to_name"]

# Sums of a few dozen of them are within 64 bits.
MAX_COUNT = 2**53


def to_count(value: object) -> int:
    """Return a number as a non-negative integer; a negative one is 0.

    Raises
    ------
    TypeError, ValueError, OverflowError
        If it is no number or out of range.
    """
    count = max(0, int(value))
    if count > MAX_COUNT:
        raise ValueError("a count is out of range")
    return count


def to_finite(value: object) -> float:
    """Return a finite number.

    Raises
    ------
    TypeError, ValueError, OverflowError
        If it is no number or not finite.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("a number is not finite")
    return number


def to_name(value: object) -> str:
    """Return a text.

    Raises
    ------
    TypeError
        If it is none.
    """
    if not isinstance(value, str):
        raise TypeError("a name is not a text")
    return value
