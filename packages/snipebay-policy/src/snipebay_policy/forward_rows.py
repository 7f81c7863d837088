"""Requests on routes of the traffic plan, and the rules that hold for all."""

import attrs

__all__ = ["ForwardAttempt", "ForwardRow", "ForwardRules"]


@attrs.frozen
class ForwardRules:
    """Rules of forwarding that hold for all routes.

    Attributes:
        queue_wait_share: Share of the target latency that a request may wait here
            for room, after which it is refused while that is still early.
        retry_after_s: When a refused caller should come back.
        min_attempt_s: Time below which another attempt is not worth it.
        retry_ratio: Retries per request, over all entry instances.
        retry_slack: Retries beyond that ratio, over all entry instances.
    """

    queue_wait_share: float = 0.125
    retry_after_s: float = 0.4
    min_attempt_s: float = 0.05
    retry_ratio: float = 0.15
    retry_slack: float = 20.0


@attrs.define
class ForwardAttempt:
    """One send of a request to one backend server."""

    attempt_id: int
    member: object
    started_s: float
    found_slot: bool
    tier: int
    wrote: bool = False


@attrs.define
class ForwardRow:
    """One request on a route.

    Attributes:
        request_id: Id unique at this instance.
        route: Its route when it arrived.
        service: Service that the route's split gave it.
        region: Region that it should run in.
        key: Names the object that it concerns, or empty.
        arrived_s: When it arrived.
        deadline_s: When it must have been answered.
        waiting_since_s: When it arrived, or when its last attempt failed.
        attempt: Running attempt, or None.
        tried: Backend servers that it was sent to.
        avoid_domains: Failure domains where a connection of it failed.
        attempts: Number of attempts so far.
        relayed: True once its answer goes to the caller.
        may_have_run: True when an attempt may have run.
    """

    request_id: int
    route: object
    service: str
    region: str | None
    key: str
    arrived_s: float
    deadline_s: float
    waiting_since_s: float = attrs.field(
        default=attrs.Factory(lambda self: self.arrived_s, takes_self=True)
    )
    attempt: ForwardAttempt | None = None
    tried: set = attrs.Factory(set)
    avoid_domains: set = attrs.Factory(set)
    attempts: int = 0
    relayed: bool = False
    may_have_run: bool = False
