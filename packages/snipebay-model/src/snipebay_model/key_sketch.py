"""Counts distinct affinity keys over many instances, by linear counting.

Each instance sets one bit for each key that it meets; the bits of several instances are
joined by a bitwise or, so that a key counts once however many of them meet it.

Source: Whang, Vander-Zanden and Taylor, "A linear-time probabilistic counting algorithm
for database applications", 1990.
"""

import hashlib
import math

__all__ = ["SKETCH_BITS", "KeySketch", "estimate_count", "join_sketches"]

# 64 bytes a service and region; counts up to about three times as many keys.
SKETCH_BITS = 512


class KeySketch:
    """Bits of the keys met lately by one instance.

    Args:
        retention_s: Keys are kept for this long, and for up to twice as long.
    """

    def __init__(self, retention_s):
        self._retention_s = retention_s
        self._bits = self._previous_bits = 0
        self._begun_s = 0.0

    def record(self, key, now_s):
        """Record a request with a key."""
        self._rotate(now_s)
        digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
        self._bits |= 1 << (int.from_bytes(digest) % SKETCH_BITS)

    def read(self, now_s):
        """Return the bits as bytes, empty when no key was met lately."""
        self._rotate(now_s)
        bits = self._bits | self._previous_bits
        return bits.to_bytes(SKETCH_BITS // 8) if bits else b""

    def _rotate(self, now_s):
        age_s = now_s - self._begun_s
        if age_s >= self._retention_s:
            is_recent = age_s < 2 * self._retention_s
            self._previous_bits = self._bits if is_recent else 0
            self._bits = 0
            self._begun_s = now_s


def join_sketches(sketches):
    """Return the joint bits of several sketches, as an integer."""
    joint = 0
    for data in sketches:
        joint |= int.from_bytes(data[: SKETCH_BITS // 8])
    return joint


def estimate_count(bits):
    """Return the estimated number of distinct keys behind joint bits."""
    unset = SKETCH_BITS - bits.bit_count()
    return round(-SKETCH_BITS * math.log(max(unset, 1) / SKETCH_BITS))
