"""Rate limits that backend servers name in their responses."""

import attrs
from snipebay_model.messages import RateLimitReport

__all__ = ["RateLimit", "RateLimitTable"]

# The rate doubles each second after a limit has ended, so that a backend server that
# was short of capacity a moment ago meets its full load gradually.
RECOVERY_FACTOR_PER_S = 2.0
RECOVERY_S = 5.0
# Smallest rate that is used. A backend server that got no request at all could not
# say that its limit has ended.
MIN_RATE_PER_S = 0.2
# Larger limits have no effect on any backend server.
MAX_RATE_PER_S = 1e6
# Relative difference of two limits below which they count as the same.
MIN_CHANGE = 0.1
# Ages of observations from other instances are off by the delay of their messages.
AGE_TOLERANCE_S = 0.1
# Reports in one message; the others follow with the next one.
MAX_REPORTS = 128


@attrs.define
class RateLimit:
    """Limit of one backend server on the requests of all instances together.

    Attributes:
        backend_id: Id of the backend server.
        born_ms: Its incarnation; another one inherits no limit.
        per_s: Requests per second that it named last.
        observed_s: When the response arrived that named or ended the limit.
        is_ended: True once a response came without a limit.
    """

    backend_id: str
    born_ms: int
    per_s: float
    observed_s: float
    is_ended: bool = False

    @classmethod
    def from_report(cls, report, now_s):
        """Return the limit that another instance has reported."""
        return cls(
            report.backend_id,
            report.born_ms,
            report.per_s,
            now_s - report.age_ms / 1_000,
            report.is_ended,
        )

    def report(self, now_s):
        """Return the :class:`RateLimitReport` for other instances."""
        age_ms = max(0, int((now_s - self.observed_s) * 1_000))
        return RateLimitReport(
            self.backend_id, self.born_ms, self.per_s, self.is_ended, age_ms
        )

    def rate_per_s(self, now_s):
        """Return the requests per second allowed now, growing after the end."""
        rate_per_s = max(self.per_s, MIN_RATE_PER_S)
        if self.is_ended:
            rate_per_s *= RECOVERY_FACTOR_PER_S ** max(0.0, now_s - self.observed_s)
        return rate_per_s

    def has_expired(self, now_s):
        """Return True once the backend server has recovered its full rate."""
        return self.is_ended and now_s >= self.observed_s + RECOVERY_S

    def is_like(self, other):
        """Return True if another limit of the same incarnation is nearly the same."""
        return (
            other is not None
            and self.born_ms == other.born_ms
            and self.is_ended == other.is_ended
            and abs(self.per_s - other.per_s) <= MIN_CHANGE * other.per_s
        )


class RateLimitTable:
    """Limits in force, from responses to this instance and from control.

    Args:
        record_event: Function of event, subject and fields that queues a log event.

    Attributes:
        version: Version of the limits that control sent last.
        has_changed: True from a change in a response until :meth:`news` is called.
    """

    def __init__(self, record_event):
        self._record_event = record_event
        self._rows = {}
        self._born_ms = {}
        self._at_control = {}
        self.version = (0, 0)
        self.has_changed = False

    def __iter__(self):
        return iter(self._rows.values())

    def __len__(self):
        return len(self._rows)

    def get(self, backend_id):
        """Return the :class:`RateLimit` of a backend server, or None."""
        return self._rows.get(backend_id)

    def record(self, row, per_s, now_s):
        """Record what a response said of the limit.

        Responses of backend servers that have left the view are ignored.

        Args:
            row: :class:`BackendRow` of the backend server.
            per_s: Requests per second that it named, or None if it named no limit.
            now_s: Time of the response.
        """
        if self._born_ms.get(row.backend_id) != row.born_ms:
            return
        known = self._rows.get(row.backend_id)
        if per_s is not None:
            per_s = min(per_s, MAX_RATE_PER_S)
            limit = RateLimit(row.backend_id, row.born_ms, per_s, now_s)
        elif known is not None and not known.is_ended:
            limit = attrs.evolve(known, observed_s=now_s, is_ended=True)
        else:
            return
        self.has_changed |= not limit.is_like(known)
        self._put(limit)

    def merge(self, report, now_s):
        """Use the report of another instance if it is newer than what is known."""
        limit = RateLimit.from_report(report, now_s)
        known = self._rows.get(limit.backend_id)
        is_newer = (
            known is None or limit.observed_s > known.observed_s + AGE_TOLERANCE_S
        )
        is_current = self._born_ms.get(limit.backend_id) == limit.born_ms
        if is_newer and is_current and (known or not limit.has_expired(now_s)):
            self._put(limit)

    def apply_control(self, reports, version, now_s):
        """Merge the limits that control sent, and remember what it knows.

        Args:
            reports: All limits known to the leader, or None if they have not changed.
            version: Their version.
            now_s: Time.
        """
        if reports is None:
            return
        self.version = version
        limits = (RateLimit.from_report(report, now_s) for report in reports)
        self._at_control = {limit.backend_id: limit for limit in limits}
        for report in reports:
            self.merge(report, now_s)

    def news(self, now_s):
        """Return reports of the limits of which control knows less."""
        self.has_changed = False
        found = (
            limit.report(now_s)
            for name, limit in self._rows.items()
            if self._is_news(limit, self._at_control.get(name))
        )
        return tuple(found)[:MAX_REPORTS]

    def apply_view(self, view):
        """Drop the limits of backend servers that are gone or were started anew."""
        self._born_ms = {row.backend_id: row.born_ms for row in view.backends}
        self._rows = {
            name: limit
            for name, limit in self._rows.items()
            if self._born_ms.get(name) == limit.born_ms
        }

    def tick(self, now_s):
        """Drop limits that have ended and whose recovery is over."""
        for name in [n for n, limit in self._rows.items() if limit.has_expired(now_s)]:
            del self._rows[name]

    def _is_news(self, limit, known):
        if limit.is_like(known):
            return False
        return known is None or limit.observed_s > known.observed_s + AGE_TOLERANCE_S

    def _put(self, limit):
        """Store a limit and log it if it differs from the one before."""
        old = self._rows.get(limit.backend_id)
        self._rows[limit.backend_id] = limit
        if limit.is_like(old):
            return
        if limit.is_ended:
            event = "rate limit ended"
        elif old is None or old.is_ended:
            event = "backend server named a rate limit"
        else:
            event = "rate limit changed"
        self._record_event(event, limit.backend_id, per_s=round(limit.per_s, 3))
