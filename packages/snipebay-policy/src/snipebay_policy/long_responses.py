"""Decides when a response is relayed that is too long to be buffered as usual.

The load: callers with several requests on a connection, and backend servers that end
or are cut off while they respond. Once a part of a response has been relayed, a broken
one can only be ended by closing the connection, which cuts the other requests on it.
"""

import enum

__all__ = [
    "MAX_BUFFERED_RESPONSE_BYTES",
    "MAX_HELD_RESPONSE_BYTES",
    "LongResponse",
    "handle_long_response",
]

# A response up to this size is relayed once it is complete, so that the request can
# be retried if the response is truncated.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
# The same while other requests of the connection are in progress.
MAX_HELD_RESPONSE_BYTES = 1024 * 1024


class LongResponse(enum.Enum):
    """What to do with a response over ``MAX_BUFFERED_RESPONSE_BYTES``."""

    # Read no more of it until it is due.
    PAUSE = enum.auto()
    # Read on and buffer it.
    HOLD = enum.auto()
    # Relay it as it arrives.
    STREAM = enum.auto()


def handle_long_response(buffered_bytes, *, is_due, has_others, has_memory):
    """Return the :class:`LongResponse` for the part that has arrived.

    Args:
        buffered_bytes: Size of that part.
        is_due: True once the responses to all earlier requests have been sent.
        has_others: True while other requests of the connection are in progress.
        has_memory: True while the process has memory to hold more than it has to.
    """
    if not is_due:
        return LongResponse.PAUSE
    is_small = buffered_bytes <= MAX_HELD_RESPONSE_BYTES
    is_held = is_small and has_others and has_memory
    return LongResponse.HOLD if is_held else LongResponse.STREAM
