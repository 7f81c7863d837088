"""Decides how long the callers of refused requests are told to wait.

The load pattern: more requests arrive than there is room for, during a burst or while
caches are cold. Callers that are all told the same short delay return together and into
the same overload, where most are refused once more.
"""

import hashlib
import math

import attrs

__all__ = ["RetryDelays"]

# Time constant of the share of refused requests.
METER_WINDOW_S = 2.0
# Served requests that a meter starts with, so that a single refusal means little.
PRIOR_SERVED = 1.0
# Longest delay before the spread; bursts and cold caches seldom last longer.
MAX_DELAY_S = 3.0
# Delays are spread from this part of the expected time to as much beyond it.
SPREAD = 0.35
# Time from the start of an instance to its first traffic plan, if control runs.
STARTUP_DELAY_S = 1.0
# Successive multiples of it modulo 1 are evenly spread (additive recurrence).
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


@attrs.define
class _RefusalMeter:
    """Decaying counts of the served and refused requests of a service."""

    served: float = 0.0
    refused: float = 0.0
    updated_s: float = 0.0

    def record(self, is_refused, now_s):
        factor = math.exp(-max(0.0, now_s - self.updated_s) / METER_WINDOW_S)
        self.updated_s = max(self.updated_s, now_s)
        self.served = self.served * factor + (not is_refused)
        self.refused = self.refused * factor + is_refused

    @property
    def refused_share(self):
        return self.refused / (self.served + self.refused + PRIOR_SERVED)


class RetryDelays:
    """Delays for the callers of one instance.

    While a share of the requests is refused, a caller needs on average the reciprocal
    of the remaining share in attempts. Most callers have a single one left, so they are
    told to return after the time of that many attempts.

    Args:
        min_delay_s: Delay while hardly any request is refused.
        owner: Name of this instance, which sets the position in the spread to start
            from.
    """

    def __init__(self, min_delay_s, owner=""):
        self._min_delay_s = min_delay_s
        digest = hashlib.blake2b(owner.encode(), digest_size=8).digest()
        self._position = int.from_bytes(digest) / (1 << 64)
        self._meters = {}

    def record_served(self, service, now_s):
        """Count a request that was sent to a backend server."""
        self._meter(service).record(False, now_s)

    def refused_s(self, service, now_s):
        """Count a refused request and return the delay for its caller."""
        meter = self._meter(service)
        meter.record(True, now_s)
        expected_s = self._min_delay_s / (1.0 - meter.refused_share)
        return self._spread(min(MAX_DELAY_S, expected_s))

    def startup_s(self):
        """Return the delay for a caller that came before the first traffic plan."""
        return self._spread(STARTUP_DELAY_S)

    def _spread(self, expected_s):
        """Return a delay near an expected time, different for each caller."""
        self._position = (self._position + GOLDEN_RATIO) % 1.0
        return round(expected_s * (1.0 + SPREAD * (2.0 * self._position - 1.0)), 3)

    def _meter(self, service):
        return self._meters.setdefault(service, _RefusalMeter())
