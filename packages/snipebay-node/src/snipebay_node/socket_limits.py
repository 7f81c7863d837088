"""Decides how many sockets a process may have, and which are closed beyond that."""

import attrs

__all__ = ["SocketLimits", "choose_connections", "socket_limits"]

# Files, pipes and pollers, which are no sockets of the hub.
MIN_FILES, FILES_SHARE = 32, 0.02
# Kept free of accepted connections, for those to backend servers and instances.
OUTGOING_SHARE, MIN_OUTGOING = 0.125, 16
# Connections closed at a time, so that a crowd costs one search for many.
CLOSED_SHARE = 1 / 32


@attrs.frozen
class SocketLimits:
    """Numbers of sockets.

    Attributes:
        max_sockets: Above this, also connections to others need room to be made.
        max_accepting: Above this, accepted connections need room to be made.
    """

    max_sockets: float = float("inf")
    max_accepting: float = float("inf")


def socket_limits(max_fds):
    """Return the limits of a process that may have so many descriptors."""
    max_sockets = max_fds - max(MIN_FILES, int(FILES_SHARE * max_fds))
    outgoing = max(MIN_OUTGOING, int(OUTGOING_SHARE * max_fds))
    return SocketLimits(max_sockets, max_sockets - outgoing)


def choose_connections(connections):
    """Return the connections to close for new ones, longest idle or stalled first.

    Args:
        connections: Objects with ``active_s``, the time of their last input, and
            ``may_make_room``.
    """
    rows = [connection for connection in connections if connection.may_make_room]
    rows.sort(key=lambda connection: connection.active_s)
    return rows[: max(1, int(CLOSED_SHARE * len(rows)))]
