"""Bounds retries and hedges to a share of the requests."""

import attrs

__all__ = ["RetryBudget"]

BUDGET_CREDIT = 10.0


@attrs.define
class RetryBudget:
    """Credit for further attempts, earned by first ones.

    Attributes:
        ratio: Credit earned by one request.
        most: Greatest credit that is kept.
    """

    ratio: float
    most: float = BUDGET_CREDIT
    _credit: float = attrs.field(
        default=attrs.Factory(lambda self: self.most / 2, takes_self=True)
    )

    @property
    def credit(self):
        """Attempts that are allowed now."""
        return self._credit

    def earn(self):
        """Count a first attempt."""
        self._credit = min(self.most, self._credit + self.ratio)

    def spend(self):
        """Return True and take credit when a further attempt is allowed."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
