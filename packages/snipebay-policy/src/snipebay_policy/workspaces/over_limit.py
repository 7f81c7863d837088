"""Denials to a workspace that is over its limit, and the delays for its callers."""

import math

import attrs

from snipebay_policy.retry_delay import GOLDEN_RATIO

__all__ = ["OverLimit"]

# A workspace counts as over its limit until this long after its last denial.
OVER_S = 5.0
# Shortest range over which the callers of one denial are spread.
MIN_SPREAD_S = 0.2
MAX_SPREAD_S = 2.0


@attrs.define
class OverLimit:
    """Denials to one workspace at one instance.

    Attributes:
        held_until_s: When the leader may be asked again.
        denied_s: When a request was denied last, or infinity before.
        count: Requests denied since the leader was asked.
        position: Position of the last caller in the spread, from 0 to 1.
    """

    held_until_s: float = -math.inf
    denied_s: float = math.inf
    count: int = 0
    position: float = 0.0

    def hold(self, until_s, now_s):
        """Record when the leader expects further credit to be due."""
        if now_s >= self.held_until_s:
            self.count = 0
        self.held_until_s = until_s

    def is_denied(self, now_s):
        """Return True while no credit is due from the leader."""
        return now_s < self.held_until_s

    def begin(self, now_s):
        """Count a denied request; return True if it is the first one."""
        is_first = self.denied_s == math.inf
        self.denied_s = now_s
        self.count += 1
        return is_first

    def end(self, now_s):
        """Return True once the workspace is no longer over its limit."""
        if now_s < self.denied_s + OVER_S:
            return False
        self.denied_s = math.inf
        return True

    def retry_after_s(self, bucket, now_s):
        """Return the delay for a denied caller.

        It begins when credit is due. From there, callers are spread over the time in
        which the part yields credit for all that were denied.
        """
        due_s = min(self.held_until_s - now_s, bucket.due_in_s(now_s))
        spread_s = self.count / bucket.per_s if bucket.per_s else MAX_SPREAD_S
        spread_s = min(max(spread_s, MIN_SPREAD_S), MAX_SPREAD_S)
        self.position = (self.position + GOLDEN_RATIO) % 1.0
        return round(max(0.0, due_s) + spread_s * self.position, 3)
