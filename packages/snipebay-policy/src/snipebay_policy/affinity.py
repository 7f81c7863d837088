"""Objects that requests of one service concern, and the region that each goes to."""

import hashlib
import math

import attrs

__all__ = ["AffinityTable"]

# Time constant after which requests of the past no longer weigh.
WEIGHT_DECAY_S = 15.0
# Weight below which an object is forgotten.
MIN_WEIGHT = 0.3
# Objects beyond which each one alone weighs too little to be counted.
MAX_TRACKED_KEYS = 1_024


@attrs.define
class AffinityTable:
    """Weights of the objects seen lately, and their regions.

    Objects stand in one order, the same at every instance, and regions take
    stretches of it by their shares. So an object stays in one region, where it
    is at hand, and a change of shares moves only those next to a border.
    """

    _weights: dict = attrs.Factory(dict)
    _positions: dict = attrs.Factory(dict)
    _updated_s: float = 0.0

    def __len__(self):
        return len(self._weights)

    def record(self, key):
        """Take note of a request."""
        if key in self._weights or len(self._weights) < MAX_TRACKED_KEYS:
            self._weights[key] = self._weights.get(key, 0.0) + 1.0

    def refresh(self, now_s):
        """Let old requests fade, and work out the order of the objects."""
        fade = math.exp(-(now_s - self._updated_s) / WEIGHT_DECAY_S)
        self._updated_s = now_s
        self._weights = {
            key: weight * fade
            for key, weight in self._weights.items()
            if weight * fade >= MIN_WEIGHT
        }
        total, cumulative = sum(self._weights.values()), 0.0
        self._positions.clear()
        for key in sorted(self._weights, key=_hash_point):
            self._positions[key] = (cumulative + self._weights[key] / 2) / total
            cumulative += self._weights[key]

    def position(self, key):
        """Return where an object stands in the order, from 0 to 1."""
        return self._positions.get(key, _hash_point(key))


def _hash_point(key):
    """Return an object's own point from 0 to 1, which orders all of them."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / (1 << 64)
