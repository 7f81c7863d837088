"""Tells which failure domains of a region are so near that they can share caches.

The load pattern: each key has a primary backend server in each failure domain, so that
its requests stay there. Each primary is slow for the key's first request. Where the way
between two domains costs callers next to nothing, one primary for both halves these.
"""

import math

import attrs

__all__ = ["NearDomains"]

# A connection takes a round trip. The way to a near domain takes at most this share of
# the target latency more than the way within the own domain.
NEAR_TARGET_SHARE = 1 / 200
# The same as a time. Domains 3 ms apart, a round trip of 6 ms, are not near however
# long the target is, with some milliseconds of error in the measurement.
MAX_NEAR_S = 0.003
# Connections to a domain whose shortest is taken for the way there.
MIN_SAMPLES = 4
# Probes that measure the way to domains that get too few requests to tell.
PROBE_INTERVAL_S = 0.1
MAX_PROBES = 40


@attrs.define
class NearDomains:
    """Shortest connect times to the backend servers of each domain of the region.

    Attributes:
        domain: Failure domain of this instance.
        region: Region of this instance.
        is_enabled: True once a backend server has named its pace. Other deployments
            keep a primary in each domain.
    """

    domain: str
    region: str
    is_enabled: bool = False
    _domains: dict = attrs.Factory(dict)
    _rows: dict = attrs.Factory(dict)
    _shortest_s: dict = attrs.Factory(dict)
    _samples: dict = attrs.Factory(dict)
    _probes: int = 0
    _next_probe_s: float = -math.inf

    def apply_view(self, backends):
        """Update the backend servers whose connect times count.

        Args:
            backends: :class:`BackendRow` of all backend servers.
        """
        self._rows = {}
        self._domains = {}
        for row in backends:
            if row.region == self.region:
                self._rows.setdefault(row.domain, []).append(row)
                self._domains[row.address] = row.domain

    def record_connect(self, address, elapsed_s):
        """Record how long it took to open a connection to an address."""
        domain = self._domains.get(address)
        if domain is not None:
            shortest_s = self._shortest_s.get(domain, math.inf)
            self._shortest_s[domain] = min(shortest_s, elapsed_s)
            self._samples[domain] = self._samples.get(domain, 0) + 1

    def near(self, target_s):
        """Return the domains near this instance's own, with it; empty without others.

        Args:
            target_s: Target latency of the request.
        """
        if not self.is_enabled or not self._is_measured(self.domain):
            return frozenset()
        own_s = self._shortest_s[self.domain]
        limit_s = min(target_s * NEAR_TARGET_SHARE, MAX_NEAR_S)
        found = frozenset(
            domain
            for domain, shortest_s in self._shortest_s.items()
            if self._is_measured(domain) and shortest_s - own_s <= limit_s
        )
        return found if len(found) > 1 else frozenset()

    def next_probe(self, now_s):
        """Return a backend server to which a connection is opened now, or None."""
        is_due = self.is_enabled and now_s >= self._next_probe_s
        if not is_due or self._probes >= MAX_PROBES:
            return None
        lacking = sorted(d for d in self._rows if not self._is_measured(d))
        if not lacking or len(self._rows) == 1:
            return None
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        rows = self._rows[lacking[self._probes % len(lacking)]]
        self._probes += 1
        return rows[self._probes % len(rows)]

    def _is_measured(self, domain):
        return self._samples.get(domain, 0) >= MIN_SAMPLES
