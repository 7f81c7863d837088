"""Reads the header in which a backend server names its rate limit."""

import math

__all__ = ["parse_rate_limit"]

# Longer values are no sensible decimal number.
MAX_VALUE_BYTES = 64


def parse_rate_limit(values):
    """Return the requests per second in the values of a header, or None without one.

    A header that occurs several times counts with its smallest value.

    Args:
        values: The values of the header, as bytes.

    Raises:
        ValueError: If a value is not a finite decimal number of at least 0.
    """
    return min((_parse_value(value) for value in values), default=None)


def _parse_value(value):
    text = value.decode("latin-1").strip()
    is_decimal = text.isascii() and text.replace(".", "", 1).isdigit()
    per_s = float(text) if is_decimal and len(text) <= MAX_VALUE_BYTES else math.nan
    if not math.isfinite(per_s):
        raise ValueError(f"rate limit {text[:MAX_VALUE_BYTES]!r} is not a number >= 0")
    return per_s
