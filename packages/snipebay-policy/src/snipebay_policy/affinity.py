"""Affinity keys in use by the requests of one service, and their order."""

import hashlib
import math

import attrs

__all__ = ["AffinityTable"]

# Time constant of the exponential decay of weights.
WEIGHT_DECAY_S = 15.0
# Keys with a lower weight are removed.
MIN_WEIGHT = 0.3
# With more keys than this, a single one has too little weight to matter.
MAX_TRACKED_KEYS = 1_024


@attrs.define
class AffinityTable:
    """Weights of the recently used affinity keys, and their positions.

    All keys stand in one order, the same at every instance, and each region is
    assigned an interval of it in proportion to its share. A key therefore stays
    in one region, whose backend servers have its data cached, and a change of
    shares moves only the keys next to an interval's boundary.
    """

    _weights: dict = attrs.Factory(dict)
    _positions: dict = attrs.Factory(dict)
    _updated_s: float = 0.0

    def __len__(self):
        return len(self._weights)

    def record(self, key):
        """Count a request with a key."""
        if key in self._weights or len(self._weights) < MAX_TRACKED_KEYS:
            self._weights[key] = self._weights.get(key, 0.0) + 1.0

    def refresh(self, now_s):
        """Decay the weights and recompute the positions of the keys."""
        decay = math.exp(-(now_s - self._updated_s) / WEIGHT_DECAY_S)
        self._updated_s = now_s
        self._weights = {
            key: weight * decay
            for key, weight in self._weights.items()
            if weight * decay >= MIN_WEIGHT
        }
        total, cumulative = sum(self._weights.values()), 0.0
        self._positions.clear()
        for key in sorted(self._weights, key=_hash_point):
            self._positions[key] = (cumulative + self._weights[key] / 2) / total
            cumulative += self._weights[key]

    def position(self, key):
        """Return the position of a key in the order, from 0 to 1."""
        return self._positions.get(key, _hash_point(key))


def _hash_point(key):
    """Return the hash of a key, scaled to 0 to 1, which defines the order."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / (1 << 64)
