"""Token bucket that starts empty and tells when its next token is due."""

import attrs

__all__ = ["RateBucket"]


@attrs.define
class RateBucket:
    """Token bucket for a rate of requests.

    Attributes:
        per_s: Tokens added per second.
        burst: Largest number of tokens kept.
        updated_s: Time of the last update of the credit.
        credit: Tokens available then.
    """

    per_s: float
    burst: float
    updated_s: float
    credit: float = 0.0

    def update(self, now_s):
        """Add the tokens that have become due."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.credit = min(self.burst, self.credit + elapsed_s * self.per_s)
        self.updated_s = now_s

    def set_rate(self, per_s, burst, now_s):
        """Change the rate; tokens that were due by the old one are kept."""
        self.update(now_s)
        self.per_s, self.burst = per_s, burst
        self.credit = min(self.credit, burst)

    def due_in_s(self, now_s, count=1.0):
        """Return the seconds until a number of tokens is available; 0 if it is."""
        self.update(now_s)
        return max(0.0, count - self.credit) / self.per_s

    def take(self, now_s):
        """Take one token, which must be available."""
        self.update(now_s)
        self.credit -= 1.0
