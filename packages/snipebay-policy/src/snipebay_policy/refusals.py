"""Decides when a waiting request is refused, and why.

The load pattern: more requests arrive than the usable backend servers have slots for.
A request whose wait has ended, or that no backend server can take before it ends, is
refused at once, so that its caller can return while the response is still of value.
"""

import attrs

__all__ = ["QueueState", "Refusal", "refusal"]


@attrs.frozen
class QueueState:
    """What is known of a request that waits for a backend server.

    Attributes:
        has_backends: True if any backend server may get requests of the service.
        is_isolated: True if this instance reaches none.
        ends_s: When its wait for a slot ends.
        permit_due_s: When the first rate limit permits it, or None if a backend
            server without a limit, or below its limit, may take it.
        has_time: False if its deadline was too close already when its wait began.
    """

    has_backends: bool
    is_isolated: bool
    ends_s: float
    permit_due_s: float | None
    has_time: bool = True


@attrs.frozen
class Refusal:
    """Why a request is refused.

    Attributes:
        reason: Reason for logs and metrics.
        detail: The same as a sentence.
        due_in_s: Seconds until it could be served, or None when unknown.
    """

    reason: str
    detail: str
    due_in_s: float | None = None


def refusal(state, now_s):
    """Return the :class:`Refusal` of a request that was not dispatched, or None.

    Args:
        state: :class:`QueueState` of the request.
        now_s: Time.
    """
    if state.is_isolated:
        detail = "no backend server is reached from any known instance"
        return Refusal("unreachable", detail)
    if not state.has_backends:
        return Refusal("no_backend", "no backend server of the service is in use")
    if not state.has_time:
        return Refusal("no_time", "no backend server can respond before the deadline")
    due_s = state.permit_due_s
    if due_s is not None and due_s > max(state.ends_s, now_s):
        detail = "all backend servers are at their rate limits"
        return Refusal("rate_limited", detail, due_s - now_s)
    if now_s >= state.ends_s:
        return Refusal("no_room", "no backend server has room")
    return None
