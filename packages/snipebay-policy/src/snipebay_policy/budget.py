"""Bounds retries and hedges to a share of the requests."""

import attrs

__all__ = ["RetryBudget"]

MAX_CREDIT = 10.0


@attrs.define
class RetryBudget:
    """Credit for further attempts, earned by first ones.

    Attributes:
        ratio: Credit earned by one request.
        max_credit: Greatest credit that is kept.
    """

    ratio: float
    max_credit: float = MAX_CREDIT
    _credit: float = attrs.field(
        default=attrs.Factory(lambda self: self.max_credit / 2, takes_self=True)
    )

    @property
    def credit(self):
        """Attempts that are allowed now."""
        return self._credit

    def deposit(self):
        """Count a first attempt."""
        self._credit = min(self.max_credit, self._credit + self.ratio)

    def try_withdraw(self):
        """Return True and take credit when a further attempt is allowed."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
