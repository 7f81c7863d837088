"""Messages on the rate limits of backend servers."""

import attrs

__all__ = ["PermitReply", "PermitRequest", "RateLimitReport"]


@attrs.frozen
class RateLimitReport:
    """What an instance knows of the rate limit that a backend server named.

    Attributes:
        backend_id: Id of the backend server.
        born_ms: Its incarnation.
        per_s: Requests per second that it takes from all instances together.
        is_ended: True when its newest response named no limit any more.
        age_ms: Milliseconds since the response that named or ended the limit.
    """

    backend_id: str
    born_ms: int
    per_s: float
    is_ended: bool
    age_ms: int


@attrs.frozen
class PermitRequest:
    """Asks for a permit to send one request to a backend server with a rate limit.

    Attributes:
        permit_id: Id, unique for the sender, that the reply repeats.
        limit: What the sender knows of the limit.
        priority: Rank of the request's route, 0 for the most urgent.
        tier: Affinity tier of the backend server for the request's key.
    """

    permit_id: int
    limit: RateLimitReport
    priority: int
    tier: int = 0


@attrs.frozen
class PermitReply:
    """Reply to a :class:`PermitRequest`.

    Attributes:
        permit_id: Echo of the request.
        granted: True when the request may be sent now.
        due_ms: Milliseconds until the next permit is due, when not granted.
    """

    permit_id: int
    granted: bool
    due_ms: int = 0
