"""Objects that requests of one service concern, and the region that each goes to."""

import hashlib
import math

import attrs

__all__ = ["ObjectTable"]

# Time constant after which requests of the past no longer weigh.
WEIGHT_WINDOW_S = 15.0
# Weight below which an object is forgotten.
LEAST_WEIGHT = 0.3
# Objects beyond which each one alone weighs too little to be counted.
COUNTED_MOST = 1_024


@attrs.define
class ObjectTable:
    """Weights of the objects seen lately, and their regions.

    Objects stand in one order, the same at every instance, and regions take
    stretches of it by their shares. So an object stays in one region, where it
    is at hand, and a change of shares moves only those next to a border.
    """

    _weights: dict = attrs.Factory(dict)
    _positions: dict = attrs.Factory(dict)
    _at_s: float = 0.0

    def __len__(self):
        return len(self._weights)

    def note(self, key):
        """Take note of a request."""
        if key in self._weights or len(self._weights) < COUNTED_MOST:
            self._weights[key] = self._weights.get(key, 0.0) + 1.0

    def settle(self, now_s):
        """Let old requests fade, and work out the order of the objects."""
        fade = math.exp(-(now_s - self._at_s) / WEIGHT_WINDOW_S)
        self._at_s = now_s
        self._weights = {
            key: weight * fade
            for key, weight in self._weights.items()
            if weight * fade >= LEAST_WEIGHT
        }
        total, passed = sum(self._weights.values()), 0.0
        self._positions.clear()
        for key in sorted(self._weights, key=_point):
            self._positions[key] = (passed + self._weights[key] / 2) / total
            passed += self._weights[key]

    def position(self, key):
        """Return where an object stands in the order, from 0 to 1."""
        return self._positions.get(key, _point(key))


def _point(key):
    """Return an object's own point from 0 to 1, which orders all of them."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / (1 << 64)
