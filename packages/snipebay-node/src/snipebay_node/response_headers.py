"""Reads what backend servers say in the headers of their responses."""

import urllib.parse

__all__ = [
    "format_backend",
    "is_leaving",
    "parse_backend",
    "parse_load",
    "parse_pace",
    "parse_rate_limit",
    "parse_retry_after",
]

# Longer values are no sensible decimal number.
MAX_VALUE_BYTES = 64
# Other percentages are taken for errors: they would rank a backend server far before or
# behind all others.
MIN_PACE_PERCENT = 10
MAX_PACE_PERCENT = 10_000


def is_leaving(values):
    """Return True if any value of the header says that the backend server is leaving.

    Args:
        values: The values of the header, as bytes.
    """
    return any(value.strip() == b"1" for value in values)


def format_backend(row):
    """Return the start time and the id of a backend server as one header value."""
    return f"{row.born_ms} {urllib.parse.quote(row.backend_id, safe='')}".encode()


def parse_backend(value):
    """Return id and start time in such a value, None if it is unusable."""
    born_ms, _, backend_id = value.partition(b" ")
    if not born_ms.isdigit() or len(born_ms) > MAX_VALUE_BYTES or not backend_id:
        return None
    return urllib.parse.unquote(backend_id.decode("latin-1")), int(born_ms)


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
    """Return the requests running and waiting in a load header, None if unusable.

    It holds these two and the slots. A fourth figure, where a backend server shares its
    machine with others, is the pace of work there, see :func:`parse_pace`.
    """
    parts = value.split(b",")
    if len(parts) not in (3, 4) or not all(p.strip().isdigit() for p in parts[:3]):
        return None
    return int(parts[0]), int(parts[1])


def parse_pace(value):
    """Return how long work takes now as a multiple of the usual, None if unknown.

    Args:
        value: A load header, whose fourth figure is a percentage of the usual time.
    """
    parts = value.split(b",")
    if len(parts) != 4 or not parts[3].strip().isdigit():
        return None
    percent = int(parts[3]) if len(parts[3]) <= MAX_VALUE_BYTES else 0
    return percent / 100 if MIN_PACE_PERCENT <= percent <= MAX_PACE_PERCENT else None


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
