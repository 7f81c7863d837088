"""Learns the time that callers usually give to the requests of a route.

The load pattern: callers that were refused return with what is left of their time. One
is recognized by a shorter timeout than usual, which may be less than the route allows.
"""

__all__ = ["UsualTimeouts"]

# Factor applied on each request with a shorter timeout. Even if nine of ten requests
# come from callers that return, those with the whole timeout are the measure.
DECAY = 0.995
# Routes that are remembered; the one that had no request for longest is dropped first.
MAX_ROUTES = 4096


class UsualTimeouts:
    """Decaying maximum of the timeouts of requests, by route."""

    def __init__(self):
        self._seconds = {}

    def record(self, route, timeout_s):
        """Record the timeout of a request of a route."""
        usual_s = self._seconds.pop(route.name, 0.0) * DECAY
        self._seconds[route.name] = min(route.timeout_s, max(usual_s, timeout_s))
        if len(self._seconds) > MAX_ROUTES:
            del self._seconds[next(iter(self._seconds))]

    def usual_s(self, route):
        """Return the usual timeout of a route's requests."""
        return self._seconds.get(route.name, route.timeout_s)
