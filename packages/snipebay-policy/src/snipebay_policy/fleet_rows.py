"""Rows of the table of backend servers, and what is told of them."""

import collections
import math

import attrs

from snipebay_policy.balancing.cost import decayed_pace

__all__ = ["Choice", "FleetCounts", "FleetTiming", "Member"]

# Time constant with which the reported load of other instances is assumed to decay.
LOAD_DECAY_S = 0.5
# Start times of own requests that are kept for each backend server. Reports from other
# instances are a second old at most, and one server is met every few seconds.
MAX_START_TIMES = 16


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
        open_count: Requests of all instances there at its last load report.
        reported_s: When its last load report arrived, here or at another instance.
        heard_s: When this instance knew of that report.
        pace: How long work took there as a multiple of the usual time, at the last
            report that named it.
        paced_s: When that report arrived.
        begun_s: When the last requests of this instance there began.
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
    open_count: int = 0
    reported_s: float = -math.inf
    heard_s: float = -math.inf
    pace: float = 1.0
    paced_s: float = -math.inf
    begun_s: collections.deque = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_START_TIMES)
    )
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

    def pace_at(self, now_s):
        """Return the expected time of work there as a multiple of the usual time."""
        if self.pace == 1.0:
            return 1.0
        return decayed_pace(self.pace, now_s - self.paced_s)

    def update_load(self, running, waiting, now_s, pace=None):
        """Record a load report, which includes the requests of this instance.

        Args:
            running: Requests that run there.
            waiting: Requests that wait there.
            now_s: Time.
            pace: Pace that the report named, or None.
        """
        self._record_report(running + waiting, pace, now_s, self.in_flight)
        self.heard_s = now_s

    def take_over_load(self, open_count, pace, observed_s, now_s):
        """Record a load report that another instance received a moment ago.

        It includes the requests of this instance that had begun by then. Those that
        ended since brought a newer report, or are few.

        Args:
            open_count: Requests that ran or waited there.
            pace: Pace that the report named, or None.
            observed_s: When the other instance received it.
            now_s: Time.
        """
        later = sum(begun_s >= observed_s for begun_s in self.begun_s)
        included = max(0, self.in_flight - later)
        self._record_report(open_count, pace, observed_s, included)
        self.heard_s = now_s

    def _record_report(self, open_count, pace, observed_s, included):
        self.open_count = open_count
        self.other_load = max(0.0, open_count - included)
        self.reported_s = observed_s
        if pace is not None:
            self.pace, self.paced_s = pace, observed_s


@attrs.frozen
class FleetCounts:
    """Metrics on the backend servers of one service.

    Attributes:
        members: Count by state: ``sound`` (healthy), ``cold``, ``ejected`` or
            ``closed``.
        slots: ``total`` of the open ones, requests of this instance there as
            ``ours``, and estimated requests of other instances as ``others``.
        pace: Mean expected pace, 1.0 for the usual one.
    """

    members: dict
    slots: dict
    pace: float = 1.0


@attrs.frozen
class Choice:
    """Backend server chosen for a request, and its affinity tier for the key."""

    member: Member
    tier: int
