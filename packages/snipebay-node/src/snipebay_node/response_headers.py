"""Reads what backend servers say in the headers of their responses."""

__all__ = ["parse_load", "parse_rate_limit", "parse_retry_after"]

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


def parse_load(value):
    """Return the requests running and waiting in a load header, None if unusable."""
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]), int(parts[1])


def parse_retry_after(value):
    """Return the seconds in a Retry-After header, None if it has no usable number."""
    return _decimal(value.decode("latin-1").strip())


def _parse_value(value):
    text = value.decode("latin-1").strip()
    per_s = _decimal(text)
    if per_s is None:
        raise ValueError(f"rate limit {text[:MAX_VALUE_BYTES]!r} is not a number >= 0")
    return per_s


def _decimal(text):
    """Return a decimal number of at least 0 without an exponent, None for others."""
    is_decimal = text.isascii() and text.replace(".", "", 1).isdigit()
    return float(text) if is_decimal and len(text) <= MAX_VALUE_BYTES else None
