"""Bounds retries and hedges to a share of the requests."""

import attrs

__all__ = ["RetryBudget"]

BUDGET_CREDIT = 10.0


@attrs.define
class RetryBudget:
    """Credit for further attempts, earned by first ones."""

    ratio: float
    _credit: float = BUDGET_CREDIT / 2

    def earn(self):
        """Count a first attempt."""
        self._credit = min(BUDGET_CREDIT, self._credit + self.ratio)

    def spend(self):
        """Return True and take credit when a further attempt is allowed."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
