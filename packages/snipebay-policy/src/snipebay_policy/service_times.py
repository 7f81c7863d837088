"""How long backend servers of one service take, by what they have at hand."""

import attrs

__all__ = ["ServiceTimes"]

# Weight of the newest sample.
WEIGHT = 0.05
# Before any sample: what matters is that a home is worth a short wait.
FIRST_HOME_S = 0.2
FIRST_AWAY_S = 0.4


@attrs.define
class ServiceTimes:
    """Moving averages over answers that did not wait for a slot.

    Attributes:
        home_s: At a backend server that is home to the request's object.
        away_s: Elsewhere.
        mean_s: Over both.
    """

    home_s: float = FIRST_HOME_S
    away_s: float = FIRST_AWAY_S
    mean_s: float = FIRST_HOME_S

    def expected_s(self, is_home):
        """Return the expected time of a request that finds a slot free."""
        return self.home_s if is_home else max(self.home_s, self.away_s)

    def note(self, elapsed_s, is_home):
        """Take in the time of an answer."""
        if is_home:
            self.home_s += WEIGHT * (elapsed_s - self.home_s)
        else:
            self.away_s += WEIGHT * (elapsed_s - self.away_s)
        self.mean_s += WEIGHT * (elapsed_s - self.mean_s)
