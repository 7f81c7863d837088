"""Reads what callers say of a request in its headers."""

from snipebay_policy.arrivals import Arrival

__all__ = ["read_arrival"]

# Longer numbers of milliseconds exceed any timeout of a route.
MAX_DEADLINE_DIGITS = 12
MAX_HOP_DIGITS = 2


def read_arrival(exchange, header_names):
    """Return the :class:`Arrival` of a request.

    Args:
        exchange: The request as received.
        header_names: :class:`HeaderNames` of callers.

    Raises:
        ValueError: If the remaining time is not a whole number.
    """
    hop = exchange.header(header_names.hop.decode())
    return Arrival(
        exchange.request_id,
        exchange.header("host"),
        exchange.path,
        _timeout_s(exchange, header_names.deadline_ms.decode()),
        _cookie(exchange, header_names.affinity),
        _single_value(exchange, header_names.credential),
        int(hop) if _is_number(hop, MAX_HOP_DIGITS) else None,
        exchange.stream.peer.rpartition(":")[0],
        exchange.waited_s,
    )


def _timeout_s(exchange, name):
    remaining = exchange.header(name)
    if not remaining:
        return None
    if not _is_number(remaining, MAX_DEADLINE_DIGITS):
        raise ValueError(f"{name}: {remaining[:40]!r} is not a whole number")
    return int(remaining) / 1_000


def _cookie(exchange, wanted):
    """Return the value of a cookie, or an empty string."""
    for part in exchange.header("cookie").split(";"):
        name, _, value = part.strip().partition("=")
        if name and name == wanted:
            return value
    return ""


def _single_value(exchange, name):
    """Return the value of a header that occurs once, else no bytes."""
    values = [value for key, value in exchange.headers if key == name]
    return values[0] if len(values) == 1 else b""


def _is_number(text, max_digits):
    return text.isascii() and text.isdigit() and len(text) <= max_digits
