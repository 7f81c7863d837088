"""State of requests on routes of the traffic plan, and the rules for all routes."""

import attrs

__all__ = ["ForwardAttempt", "ForwardRow", "ForwardRules"]


@attrs.frozen
class ForwardRules:
    """Rules of forwarding for all routes.

    Attributes:
        queue_wait_share: Share of the route's target latency that a request may wait
            here for a free slot before it is refused, which is still early.
        retry_after_s: Delay suggested to the caller of a refused request.
        min_attempt_s: Shortest time before the deadline in which another attempt is
            started.
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
    """One attempt to send a request to a backend server.

    Attributes:
        attempt_id: Id unique at this instance.
        member: :class:`Member` that it was sent to.
        started_s: When it was dispatched.
        found_slot: True when the backend server was estimated to have a free slot.
        tier: Affinity tier of the backend server for the request's key.
        is_written: True once a byte may have reached the backend server.
        is_hop: True when it goes through another entry instance.
        pace: Pace of the backend server that the response named, 1.0 if none.
        is_arriving: True while its response arrives that is not relayed yet.
    """

    attempt_id: int
    member: object
    started_s: float
    found_slot: bool
    tier: int
    is_written: bool = False
    is_hop: bool = False
    pace: float = 1.0
    is_arriving: bool = False


@attrs.define
class ForwardRow:
    """One request on a route.

    Attributes:
        request_id: Id unique at this instance.
        route: Its route when it arrived.
        service: Service that the route's split assigned to it.
        region: Region that it should run in, or None.
        key: Affinity key, or empty.
        arrived_s: When it arrived.
        deadline_s: When the response must have arrived.
        waiting_since_s: When it arrived, or when its last attempt failed.
        attempt: Running attempt, or None.
        excluded_backends: Ids of the backend servers that it was sent to, which are
            not used for another attempt.
        avoid_domains: Failure domains where a connection failed for it.
        attempt_count: Number of attempts so far.
        is_relayed: True once its response is relayed to the caller, or the caller of a
            request that can't be cancelled has disconnected.
        may_have_run: True when an attempt may have run.
        needs_permit: True while a permit for it is requested from another instance.
        has_hopped: True when another entry instance sent it here; it takes no
            second hop.
        hop_count: Number of hops that were started.
        workspace: Its :class:`Workspace`, or None.
        allowed_regions: Regions that may serve it, empty for all.
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
    excluded_backends: set = attrs.Factory(set)
    avoid_domains: set = attrs.Factory(set)
    attempt_count: int = 0
    is_relayed: bool = False
    may_have_run: bool = False
    needs_permit: bool = False
    has_hopped: bool = False
    hop_count: int = 0
    workspace: object = None
    allowed_regions: tuple = ()

    @property
    def priority(self):
        """Rank of the request, 0 for the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    def is_stalled(self, now_s, stall_timeout_s):
        """Return True when a retry is better than a further wait for the response."""
        attempt = self.attempt
        return (
            attempt is not None
            and self.route.idempotent
            and not self.is_relayed
            and not attempt.is_arriving
            and attempt.member.is_unresponsive(now_s)
            and now_s >= attempt.started_s + stall_timeout_s
            and self.attempt_count < self.route.max_attempts
        )

    @property
    def may_hop(self):
        """True for a running request that may be repeated through an instance."""
        return (
            self.attempt is not None
            and not self.attempt.is_hop
            and self.route.idempotent
            and not self.is_relayed
        )
