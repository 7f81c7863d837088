"""Latency and outlier detection of backend servers, from this instance's requests."""

import statistics

import attrs

__all__ = ["BackendHealth", "HealthTable"]

# Weight of the newest sample in the moving average of the latency.
SAMPLE_WEIGHT = 0.2
# Cost of a backend server that has just joined, in seconds of latency.
COLD_PENALTY_S = 10.0
# A backend server is an outlier when its latency exceeds this multiple of the median
# of the others, which counts as at least the minimum.
OUTLIER_FACTOR = 3.0
MIN_MEDIAN_LATENCY_S = 0.005
# Responses needed before a backend server can be an outlier.
MIN_OUTLIER_SAMPLES = 5


@attrs.define
class BackendHealth:
    """Latency and failures of one backend server.

    Attributes:
        service: Service of the backend server.
        first_seen_s: When it joined.
        slow_start_s: Duration of its slow start, the warm-up after it joins.
        latency_s: Moving average over responses, None before the first.
        samples: Number of responses.
        failures: Consecutive failures.
        ejected_until_s: When its ejection ends.
    """

    service: str
    first_seen_s: float
    slow_start_s: float
    latency_s: float | None = None
    samples: int = 0
    failures: int = 0
    ejected_until_s: float = float("-inf")

    def is_ejected(self, now_s):
        return now_s < self.ejected_until_s

    def cold_share(self, now_s):
        """Return the rest of the slow start as a share, from 1 when new to 0."""
        if self.slow_start_s <= 0:
            return 0.0
        return max(0.0, 1.0 - (now_s - self.first_seen_s) / self.slow_start_s)


@attrs.define
class HealthTable:
    """Health of all backend servers in the view.

    Load reports of backend servers are not used: slots are counted and latency is
    measured at this instance, so a late or wrong report has no effect.
    """

    rows: dict = attrs.Factory(dict)

    def apply_view(self, view, rules_of, now_s):
        """Add new backend servers and remove those that left the view."""
        first = not self.rows
        known = {row.backend_id: row for row in view.backends}
        self.rows = {i: row for i, row in self.rows.items() if i in known}
        for backend_id, row in known.items():
            if backend_id not in self.rows:
                slow_s = rules_of(row.service).slow_start_s
                # Backend servers in the first view are assumed to be warm.
                seen_s = now_s - slow_s if first else now_s
                self.rows[backend_id] = BackendHealth(row.service, seen_s, slow_s)

    def score(self, backend_id, now_s):
        """Return the expected cost of a request there, in seconds."""
        row = self.rows[backend_id]
        return (row.latency_s or 0.0) + COLD_PENALTY_S * row.cold_share(now_s)

    def is_usable(self, backend_id, now_s):
        """Return True for a known backend server that is not ejected."""
        row = self.rows.get(backend_id)
        return row is not None and not row.is_ejected(now_s)

    def record_success(self, backend_id, latency_s, rules, now_s):
        """Record a response; eject the backend server if it is an outlier."""
        row = self.rows.get(backend_id)
        if row is None:
            return
        row.failures = 0
        row.samples += 1
        if row.latency_s is None:
            row.latency_s = latency_s
        else:
            row.latency_s += SAMPLE_WEIGHT * (latency_s - row.latency_s)
        if self._is_outlier(row):
            self._eject(row, rules, now_s)
            # Outlier detection starts over after the ejection.
            row.latency_s, row.samples = None, 0

    def record_failure(self, backend_id, rules, now_s):
        """Record a failure; eject the backend server after too many in a row."""
        row = self.rows.get(backend_id)
        if row is None:
            return
        row.failures += 1
        if row.failures >= rules.eject_failures:
            self._eject(row, rules, now_s)

    def _is_outlier(self, row):
        """Return True when it is much slower than the others of its service."""
        others = [
            other.latency_s
            for other in self.rows.values()
            if other.service == row.service
            and other is not row
            and other.latency_s is not None
        ]
        if row.samples < MIN_OUTLIER_SAMPLES or not others:
            return False
        baseline_s = max(statistics.median(others), MIN_MEDIAN_LATENCY_S)
        return row.latency_s > OUTLIER_FACTOR * baseline_s

    def _eject(self, row, rules, now_s):
        """Eject a backend server, unless too many of its service are ejected."""
        peers = [other for other in self.rows.values() if other.service == row.service]
        ejected = sum(other.is_ejected(now_s) for other in peers if other is not row)
        if ejected + 1 <= rules.eject_ceiling * len(peers):
            row.ejected_until_s = now_s + rules.eject_s
