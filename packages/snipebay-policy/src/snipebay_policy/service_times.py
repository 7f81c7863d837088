"""How long backend servers of one service take, by what they have at hand."""

import math

import attrs

__all__ = ["OTHER", "PRIMARY", "SECONDARY", "ServiceTimes"]

# Places of a backend server for an object: the one that gets its requests, the
# one that gets them when that is busy, and all others.
PRIMARY, SECONDARY, OTHER = range(3)
# Weight of the newest sample.
SAMPLE_WEIGHT = 0.05
# Time without any answer from a backend server that counts as silence: so many
# times the slowest answer of late, and at least a second, which is the first
# retransmission of TCP (RFC 6298).
STALL_FACTOR = 1.5
MIN_STALL_S = 1.0
# Part of the slowest answer that is left after each quicker one.
SLOWEST_DECAY = 0.99
# Before any sample: what matters is that a home is worth a short wait.
INITIAL_S = (0.2, 0.3, 0.4)


@attrs.define
class ServiceTimes:
    """Moving averages over answers that did not wait for a slot.

    Attributes:
        by_tier: Seconds at a home, at a second home and elsewhere.
        mean_s: Over all.
        slowest_s: Slowest answer of late, waits included; infinite before any.
    """

    by_tier: list = attrs.Factory(lambda: list(INITIAL_S))
    mean_s: float = INITIAL_S[PRIMARY]
    slowest_s: float = math.inf

    def expected_s(self, tier):
        """Return the expected time of a request that finds a slot free.

        A tier is never taken to be better than one that gets more requests
        for the object, whatever few samples say.
        """
        return max(self.by_tier[: tier + 1])

    @property
    def stall_timeout_s(self):
        """How long a backend server may say nothing at all."""
        return max(MIN_STALL_S, STALL_FACTOR * self.slowest_s)

    def record_response(self, elapsed_s):
        """Take in the time of an answer, whether it waited for a slot or not."""
        decayed_s = (
            0.0 if self.slowest_s == math.inf else self.slowest_s * SLOWEST_DECAY
        )
        self.slowest_s = max(elapsed_s, decayed_s)

    def record_unqueued(self, elapsed_s, tier):
        """Take in the time of an answer."""
        self.by_tier[tier] += SAMPLE_WEIGHT * (elapsed_s - self.by_tier[tier])
        self.mean_s += SAMPLE_WEIGHT * (elapsed_s - self.mean_s)
