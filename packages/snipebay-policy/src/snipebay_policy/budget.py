"""Limits retries and hedges to a share of the requests."""

import attrs

__all__ = ["RetryBudget"]

MAX_CREDIT = 10.0


@attrs.define
class RetryBudget:
    """Token bucket for retries and hedges, filled by first attempts.

    Attributes:
        ratio: Credit added per request.
        max_credit: Upper bound on the credit.
    """

    ratio: float
    max_credit: float = MAX_CREDIT
    _credit: float = attrs.field(
        default=attrs.Factory(lambda self: self.max_credit / 2, takes_self=True)
    )

    @property
    def credit(self):
        """Number of retries and hedges allowed now; may be fractional."""
        return self._credit

    def deposit(self):
        """Add the credit of one first attempt."""
        self._credit = min(self.max_credit, self._credit + self.ratio)

    def try_withdraw(self):
        """Take one credit and return True, or return False when none is left."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
