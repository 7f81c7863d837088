"""Units, limits and protocol constants that several packages share."""

__all__ = [
    "BODY_LIMIT_BYTES",
    "BYTES_PER_MBIT",
    "FRAME_LIMIT_BYTES",
    "HEAD_LIMIT_BYTES",
    "LOOKUP_TTL_S",
    "PROTOCOL_VERSION",
    "STORED_RESPONSE_LIMIT_BYTES",
]

# Version of messages between instances; both sides must have the same.
PROTOCOL_VERSION = 1
BYTES_PER_MBIT = 125_000
# Default limit on the request line and headers of a request.
HEAD_LIMIT_BYTES = 16 * 1024
BODY_LIMIT_BYTES = 8 * 1024 * 1024
# Largest message between instances.
FRAME_LIMIT_BYTES = 64 * 1024 * 1024
# Largest response body stored with an idempotency key for replays.
STORED_RESPONSE_LIMIT_BYTES = 16 * 1024
# Time for which clients may use the result of a lookup.
LOOKUP_TTL_S = 5
