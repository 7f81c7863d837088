"""Service times of the backend servers of one service, by affinity tier."""

import math

import attrs

__all__ = ["OTHER", "PRIMARY", "SECONDARY", "ServiceTimes"]

# Affinity tiers of a backend server for a key: it gets the key's requests, gets them
# while the primary one is busy, or is any other.
PRIMARY, SECONDARY, OTHER = range(3)
# Weight of the newest sample in the moving averages.
SAMPLE_WEIGHT = 0.05
# A backend server is unresponsive when it sends no response for this multiple of the
# slowest recent response time, and at least for the initial retransmission timeout of
# TCP (RFC 6298).
STALL_FACTOR = 1.5
MIN_STALL_S = 1.0
# Factor applied to the slowest response time on each faster response.
SLOWEST_DECAY = 0.99
# Averages before the first sample.
INITIAL_S = (0.2, 0.3, 0.4)
# Expected times as multiples of those of the primary backend server until there are
# samples of a tier.
INITIAL_RATIOS = (1.0, 1.5, 3.0)
# Samples after which a tier's own average counts alone.
MIN_SAMPLES = 20


@attrs.define
class ServiceTimes:
    """Statistics of response times.

    Attributes:
        by_tier: Moving average of the seconds to a response at a backend server of
            each tier, over requests that found a free slot.
        mean_s: The same over all tiers.
        slowest_s: Decaying maximum over all requests, including those that waited
            for a slot; infinite before the first response.
        samples: Number of samples by tier.
    """

    by_tier: list = attrs.Factory(lambda: list(INITIAL_S))
    mean_s: float = INITIAL_S[PRIMARY]
    slowest_s: float = math.inf
    samples: list = attrs.Factory(lambda: [0] * len(INITIAL_S))

    def expected_s(self, tier):
        """Return the expected time to a response when a slot is free.

        A tier is never expected to be faster than the tiers before it, whatever a
        small number of samples suggests: those get more requests for the key. An
        instance that sees few requests would otherwise take all tiers for equal once
        it has met some keys at primary backend servers that had not cached them.
        """
        return max(self._blended_s(t) for t in range(tier + 1))

    def _blended_s(self, tier):
        """Return a tier's average, blended with the initial ratio for few samples."""
        weight = min(1.0, self.samples[tier] / MIN_SAMPLES)
        initial_s = self.by_tier[PRIMARY] * INITIAL_RATIOS[tier]
        return weight * self.by_tier[tier] + (1.0 - weight) * initial_s

    @property
    def stall_timeout_s(self):
        """Time without any response after which a backend server is unresponsive."""
        return max(MIN_STALL_S, STALL_FACTOR * self.slowest_s)

    def record_response(self, elapsed_s):
        """Record the time to a response, with or without a wait for a slot."""
        past_s = 0.0 if self.slowest_s == math.inf else self.slowest_s * SLOWEST_DECAY
        self.slowest_s = max(elapsed_s, past_s)

    def record_unqueued(self, elapsed_s, tier):
        """Record the time to a response to a request that found a free slot.

        Args:
            elapsed_s: Time to the response at the usual pace of a backend server.
            tier: Affinity tier of the backend server for the request's key.
        """
        self.samples[tier] += 1
        self.by_tier[tier] += SAMPLE_WEIGHT * (elapsed_s - self.by_tier[tier])
        self.mean_s += SAMPLE_WEIGHT * (elapsed_s - self.mean_s)
