"""Rows of the table of backend servers, and what is told of them."""

import math

import attrs

__all__ = ["Choice", "FleetCounts", "FleetTiming", "Member"]

# Time constant with which the reported load of other instances is assumed to decay.
LOAD_DECAY_S = 0.5


@attrs.frozen
class FleetTiming:
    """Rules for the ejection of backend servers.

    Attributes:
        eject_failures: Consecutive failures that eject a backend server.
        eject_s: Duration of the first ejection, doubled for each consecutive one.
        max_eject_s: Longest ejection.
        eject_ceiling: Largest share of a service's backend servers ejected at once.
    """

    eject_failures: int = 3
    eject_s: float = 1.0
    max_eject_s: float = 8.0
    eject_ceiling: float = 0.5


@attrs.define
class Member:
    """One backend server.

    Attributes:
        row: Its :class:`BackendRow` in the view.
        in_flight: Requests of this instance running or queued there.
        other_load: Estimated requests of other instances there.
        reported_s: When its last load report arrived.
        failures: Consecutive failures.
        ejections: Consecutive ejections.
        ejected_until_s: When its ejection ends.
        cold_until_s: When its cold start ends.
        next_cold_s: Earliest time for the next request during its cold start.
        last_response_s: When it last responded to this instance, in any way.
        unresponsive_from_s: When it becomes unresponsive unless it responds;
            infinite while it has no requests of this instance.
        is_stale: True when another backend server responded at its address.
    """

    row: object
    in_flight: int = 0
    other_load: float = 0.0
    reported_s: float = -math.inf
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = -math.inf
    cold_until_s: float = -math.inf
    next_cold_s: float = -math.inf
    last_response_s: float = -math.inf
    unresponsive_from_s: float = math.inf
    is_stale: bool = False

    def load(self, now_s):
        """Return the estimated number of requests running or queued there."""
        age_s = max(0.0, now_s - self.reported_s)
        return self.in_flight + self.other_load * math.exp(-age_s / LOAD_DECAY_S)

    def is_unresponsive(self, now_s):
        """Return True when requests have been in flight too long without a response."""
        return now_s >= self.unresponsive_from_s

    def update_load(self, running, waiting, now_s):
        """Record a load report, which includes the requests of this instance."""
        self.other_load = max(0.0, running + waiting - self.in_flight)
        self.reported_s = now_s


@attrs.frozen
class FleetCounts:
    """Metrics on the backend servers of one service.

    Attributes:
        members: Count by state: ``sound`` (healthy), ``cold``, ``ejected`` or
            ``closed``.
        slots: ``total`` of the open ones, requests of this instance there as
            ``ours``, and estimated requests of other instances as ``others``.
    """

    members: dict
    slots: dict


@attrs.frozen
class Choice:
    """Backend server chosen for a request, and its affinity tier for the key."""

    member: Member
    tier: int
