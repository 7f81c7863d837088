"""Rate limits that backend servers name in their responses."""

import attrs

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
# Relative difference of two limits below which a change is not logged.
MIN_LOGGED_CHANGE = 0.1


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

    def rate_per_s(self, now_s):
        """Return the requests per second allowed now, growing after the end."""
        rate_per_s = max(self.per_s, MIN_RATE_PER_S)
        if self.is_ended:
            rate_per_s *= RECOVERY_FACTOR_PER_S ** max(0.0, now_s - self.observed_s)
        return rate_per_s

    def has_expired(self, now_s):
        """Return True once the backend server has recovered its full rate."""
        return self.is_ended and now_s >= self.observed_s + RECOVERY_S


class RateLimitTable:
    """Limits in force, as observed by this instance.

    Args:
        record_event: Function of event, subject and fields that queues a log event.
    """

    def __init__(self, record_event):
        self._record_event = record_event
        self._rows = {}

    def __iter__(self):
        return iter(self._rows.values())

    def get(self, backend_id):
        """Return the :class:`RateLimit` of a backend server, or None."""
        return self._rows.get(backend_id)

    def record(self, row, per_s, now_s):
        """Record what a response said of the limit.

        Args:
            row: :class:`BackendRow` of the backend server.
            per_s: Requests per second that it named, or None if it named no limit.
            now_s: Time of the response.
        """
        known = self._rows.get(row.backend_id)
        if per_s is None:
            if known is not None and not known.is_ended:
                self._end(known, now_s)
            return
        per_s = min(per_s, MAX_RATE_PER_S)
        if known is None or known.is_ended:
            self._rows[row.backend_id] = RateLimit(
                row.backend_id, row.born_ms, per_s, now_s
            )
            self._log("backend server named a rate limit", row.backend_id, per_s)
            return
        if abs(per_s - known.per_s) > MIN_LOGGED_CHANGE * known.per_s:
            self._log("rate limit changed", row.backend_id, per_s, before=known.per_s)
        known.per_s, known.observed_s = per_s, now_s

    def apply_view(self, view):
        """Drop the limits of backend servers that are gone or were started anew."""
        born_ms = {row.backend_id: row.born_ms for row in view.backends}
        self._rows = {
            name: limit
            for name, limit in self._rows.items()
            if born_ms.get(name) == limit.born_ms
        }

    def tick(self, now_s):
        """Drop limits that have ended and whose recovery is over."""
        for name in [n for n, limit in self._rows.items() if limit.has_expired(now_s)]:
            del self._rows[name]

    def _end(self, limit, now_s):
        limit.is_ended, limit.observed_s = True, now_s
        self._log("rate limit ended", limit.backend_id, limit.per_s)

    def _log(self, event, backend_id, per_s, **fields):
        self._record_event(event, backend_id, per_s=round(per_s, 3), **fields)
