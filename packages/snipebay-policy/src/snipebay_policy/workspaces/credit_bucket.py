"""Credit of one workspace at one entry instance."""

import collections
import math

import attrs

__all__ = ["GRANT_S", "CreditBucket"]

# Time from a request for credit, or from the use of a spare one, to the end of the
# credit, within the time for which the leader counts it.
GRANT_S = 0.6


@attrs.define
class CreditBucket:
    """Part of a workspace's limit, and the credit that it has yielded.

    Credit of requests that have not been dispatched yet counts against the burst, so
    that it can be given back without exceeding it. A granted credit can be given back
    as well, but only until ``granted_until_s``, as long as the leader counts it.

    Attributes:
        rate_per_s: Rate of the limit that the part belongs to.
        limit_burst: Burst of that limit.
        per_s: Rate of the part, 0 without one.
        burst: Burst of the part.
        ends_s: End of the part.
        updated_s: Time of the last update.
        full_s: When the bucket was last full.
        credit: Credit available then.
        pending: Requests that took credit of the part and were not dispatched yet.
        returned: Ends of the granted credits that were given back, in order.
        spare: Ends of the spare credits, in order.
    """

    rate_per_s: float
    limit_burst: float
    updated_s: float
    per_s: float = 0.0
    burst: float = 0.0
    ends_s: float = -math.inf
    full_s: float = -math.inf
    credit: float = 0.0
    pending: int = 0
    returned: collections.deque = attrs.Factory(collections.deque)
    spare: collections.deque = attrs.Factory(collections.deque)

    def update(self, now_s):
        """Add the credit that has become due, and end an expired part."""
        elapsed_s = max(0.0, min(now_s, self.ends_s) - self.updated_s)
        self.credit += elapsed_s * self.per_s
        self.updated_s = max(self.updated_s, now_s)
        if now_s >= self.ends_s:
            self.per_s = self.burst = 0.0
        if self.credit >= self.burst - self.pending:
            self.credit = max(0.0, self.burst - self.pending)
            self.full_s = now_s
        while self.returned and self.returned[0] <= now_s:
            self.returned.popleft()

    def set_part(self, part, ends_s, now_s):
        """Replace the part; earned credit is kept up to the new burst."""
        self.update(now_s)
        self.per_s, self.burst, self.ends_s = part.per_s, part.burst, ends_s
        self.update(now_s)

    def set_limit(self, workspace, now_s):
        """Scale the part down if the limit of the workspace is lower."""
        self.update(now_s)
        scale = min(1.0, workspace.rate_per_s / self.rate_per_s)
        if self.limit_burst:
            scale = min(scale, workspace.burst / self.limit_burst)
        self.rate_per_s, self.limit_burst = workspace.rate_per_s, workspace.burst
        self.per_s *= scale
        self.burst *= scale
        self.update(now_s)

    def take(self, now_s):
        """Take a credit if there is one.

        Returns:
            The end of a granted credit that was given back, infinity for credit of
            the part, or None.
        """
        self.update(now_s)
        if self.returned:
            return self.returned.popleft()
        if self.credit < 1.0:
            if not self.spare or self.spare[0] <= now_s:
                return None
            # The newest one, so that older ones can be returned.
            self.spare.pop()
            return now_s + GRANT_S
        self.credit -= 1.0
        self.pending += 1
        return math.inf

    def give_back(self, granted_until_s, now_s, *, is_pending, taken_s):
        """Return the credit of a request that has not run.

        Args:
            granted_until_s: What :meth:`take` returned.
            now_s: Time.
            is_pending: True if it was not dispatched.
            taken_s: When it took the credit.
        """
        if granted_until_s < math.inf:
            if now_s < granted_until_s:
                self.returned.append(granted_until_s)
            return
        self.update(now_s)
        # The credit of a dispatched request didn't count against the burst. In a bucket
        # that was full since, it would have overflowed.
        if is_pending or self.full_s <= taken_s:
            self.pending -= is_pending
            self.credit = min(self.credit + 1.0, self.burst - self.pending)
            self.credit = max(0.0, self.credit)

    def pop_expired_spare(self, now_s):
        """Drop the spare credits that have expired and return their number."""
        count = 0
        while self.spare and self.spare[0] <= now_s:
            self.spare.popleft()
            count += 1
        return count

    def due_in_s(self, now_s):
        """Return the time until the part yields a credit, infinity without a part."""
        self.update(now_s)
        if not self.per_s:
            return math.inf
        return max(0.0, 1.0 - self.credit) / self.per_s
