"""Number of backend servers that share the requests for a popular affinity key.

The load pattern: a few keys have most of the requests, the most popular one about a
fifth of them. On one primary backend server it alone would bring several times the mean
load. Instances tell popular keys by their own requests only, of which each has a few in
a second.
"""

import math

import attrs

from snipebay_policy.service_times import PRIMARY, SECONDARY

__all__ = ["KeyPopularity", "KeySpread"]

# Time constant of the exponential decay of weights, and interval of their update.
DECAY_S = 30.0
REFRESH_S = 1.0
MIN_WEIGHT = 0.05
# With more keys than this, a single one has too little weight to matter.
MAX_KEYS = 1_024
# Load that one key may bring to a backend server, as a share of the mean load. Other
# keys there bring the rest of the 1.25 times the mean that a server may have.
KEY_LOAD_SHARE = 0.5
# Standard deviations of its weight by which a key counts as less popular than it seems,
# so that a few requests by chance don't spread an unpopular one.
CAUTION = 1.0
# A key is spread if its weight exceeds that which one server may have by this number of
# standard deviations and one more request. Without such a bound, equally popular keys
# were spread by chance, and 2 of 100 responses more were late in the replay.
POPULAR_DEVIATIONS = 3.0
# Weight of all keys below which none is spread, since nothing is known of the others.
MIN_TOTAL = 8.0
# A key is spread over 1, 2, 4, ... servers. Their number changes once the number needed
# differs from it by this factor, so that noise doesn't change it.
GROW_FACTOR, SHRINK_FACTOR = 1.5, 0.6
MIN_SPREAD, MAX_SPREAD = 2, 32


@attrs.frozen
class KeySpread:
    """How one request with a popular key uses the servers that share the key.

    Attributes:
        popularity: :class:`KeyPopularity` of the key's region.
        key: The key.
        start: Number that differs by instance, so that not all begin with one server.
    """

    popularity: object
    key: str
    start: int

    def tiers(self, ids):
        """Return affinity tiers by id, empty if the key has a single primary.

        Two servers are primary for the request, the less loaded of which gets it. All
        choosing among all servers would meet at one until its next report.

        Args:
            ids: Ids of the backend servers in the key's order.
        """
        count = self.popularity.spread(self.key, len(ids))
        if count < MIN_SPREAD:
            return {}
        turn = self.start + self.popularity.turn(self.key)
        chosen = (ids[turn % count], ids[(turn + 1) % count])
        return dict.fromkeys(ids[:count], SECONDARY) | dict.fromkeys(chosen, PRIMARY)


@attrs.define
class KeyPopularity:
    """Decaying weights of the keys that this instance sends to one region.

    The servers of a key are the first ones in its order, which is the same at all
    instances. Those that take it for less popular use fewer of the same servers.
    """

    _weights: dict = attrs.Factory(dict)
    _total: float = 0.0
    _spreads: dict = attrs.Factory(dict)
    _turns: dict = attrs.Factory(dict)
    _refreshed_s: float = -math.inf

    def record(self, key, now_s):
        """Count a request with a key."""
        if now_s - self._refreshed_s >= REFRESH_S:
            self._refresh(now_s)
        if key in self._weights or len(self._weights) < MAX_KEYS:
            self._weights[key] = self._weights.get(key, 0.0) + 1.0
            self._turns[key] = self._turns.get(key, -1) + 1
        self._total += 1.0

    def spread(self, key, servers):
        """Return the number of servers that share the requests for a key.

        Args:
            key: The key.
            servers: Number of servers that could.
        """
        weight = self._weights.get(key, 0.0)
        fair = self._total * KEY_LOAD_SHARE / servers
        least = 1.0 + fair + POPULAR_DEVIATIONS * math.sqrt(fair)
        is_known = self._total >= MIN_TOTAL and weight >= least
        if not is_known and key not in self._spreads:
            return 1
        cautious = max(0.0, weight - CAUTION * math.sqrt(weight))
        needed = cautious / fair
        count = self._spreads.get(key, 1)
        while needed > count * GROW_FACTOR and count < MAX_SPREAD:
            count *= 2
        while needed < count * SHRINK_FACTOR and count > 1:
            count //= 2
        self._spreads[key] = count
        return min(count, servers)

    def turn(self, key):
        """Return the number of earlier requests with a key, to use servers in turn."""
        return self._turns.get(key, 0)

    def _refresh(self, now_s):
        decay = math.exp(-max(0.0, now_s - self._refreshed_s) / DECAY_S)
        self._refreshed_s = now_s
        self._total *= decay
        self._weights = {
            key: weight * decay
            for key, weight in self._weights.items()
            if weight * decay >= MIN_WEIGHT
        }
        self._spreads = {k: n for k, n in self._spreads.items() if k in self._weights}
        self._turns = {k: n for k, n in self._turns.items() if k in self._weights}
