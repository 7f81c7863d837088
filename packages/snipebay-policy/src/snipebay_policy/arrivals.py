"""Checks of a request that has just arrived, before it is queued."""

import attrs

from snipebay_policy.work import NOT_RUN, Problem

__all__ = ["Arrival", "check_arrival"]


@attrs.frozen
class Arrival:
    """A request as an entry instance received it.

    Attributes:
        request_id: Id unique at this instance.
        host: Value of its ``Host`` header.
        path: Path without the query.
        timeout_s: Timeout of its caller, or None when unknown.
        key: Affinity key, or empty.
        credential: Key of its workspace as bytes, or empty.
        attempts_before_hop: Attempts of the entry instance that sent it here, or None
            when its caller did.
        peer_host: Host of the other side of its connection, or empty.
        waited_s: Time for which it has waited behind others of its connection.
    """

    request_id: int
    host: str
    path: str
    timeout_s: float | None = None
    key: str = ""
    credential: bytes = b""
    attempts_before_hop: int | None = None
    peer_host: str = ""
    waited_s: float = 0.0


def check_arrival(arrival, forward, now_s):
    """Return the route and workspace of a request, or the problem that ends it.

    Args:
        arrival: The :class:`Arrival`.
        forward: :class:`ForwardSystem` of this instance.
        now_s: Time.

    Returns:
        A pair of :class:`Route` and :class:`Workspace`, the latter None for a request
        without one; or a :class:`Problem`.
    """
    ctx, rules = forward.ctx, forward.rules
    request_id = arrival.request_id
    if forward.is_closed:
        detail = "this instance is about to stop"
        return _refusal(request_id, "stopping", detail, rules.retry_after_s)
    if ctx.table is None:
        detail = "no traffic plan is in force here yet"
        after_s = forward.queue.retry_delays.startup_s()
        return _refusal(request_id, "no_plan", detail, after_s)
    route = ctx.table.find(arrival.host, arrival.path)
    if route is None:
        detail = f"no route for {arrival.host!r} and {arrival.path!r}"
        return Problem(request_id, 404, NOT_RUN, detail, reason="no_route")
    workspace = None
    if ctx.workspaces and not route.is_public:
        if not ctx.config_lease.is_valid(now_s):
            detail = "control has not confirmed the keys of the workspaces lately"
            after_s = forward.queue.retry_delays.startup_s()
            return _refusal(request_id, "stale_config", detail, after_s)
        workspace = ctx.workspaces.find(arrival.credential)
        if workspace is None:
            detail = "the key is missing or belongs to no workspace"
            return Problem(request_id, 401, NOT_RUN, detail, reason="unknown_key")
    if (
        not route.idempotent
        and now_s + forward.limit_s(arrival, route) > forward.ends_s
    ):
        detail = "this instance stops before the request must have ended"
        return _refusal(request_id, "stopping", detail, rules.retry_after_s)
    return route, workspace


def _refusal(request_id, reason, detail, after_s):
    return Problem(request_id, 503, NOT_RUN, detail, after_s, reason)
