"""How long backend servers of one service take, by what they have at hand."""

import math

import attrs

__all__ = ["AWAY", "HOME", "SECOND", "ServiceTimes"]

# Places of a backend server for an object: the one that gets its requests, the
# one that gets them when that is busy, and all others.
HOME, SECOND, AWAY = range(3)
# Weight of the newest sample.
WEIGHT = 0.05
# Time without any answer from a backend server that counts as silence: so many
# times the slowest answer of late, and at least a second, which is the first
# retransmission of TCP (RFC 6298).
SILENCE_TIMES = 1.5
SILENCE_LEAST_S = 1.0
# Part of the slowest answer that is left after each quicker one.
SLOWEST_FADE = 0.99
# Before any sample: what matters is that a home is worth a short wait.
FIRST_S = (0.2, 0.3, 0.4)


@attrs.define
class ServiceTimes:
    """Moving averages over answers that did not wait for a slot.

    Attributes:
        by_place: Seconds at a home, at a second home and elsewhere.
        mean_s: Over all.
        slowest_s: Slowest answer of late, waits included; infinite before any.
    """

    by_place: list = attrs.Factory(lambda: list(FIRST_S))
    mean_s: float = FIRST_S[HOME]
    slowest_s: float = math.inf

    def expected_s(self, place):
        """Return the expected time of a request that finds a slot free.

        A place is never taken to be better than one that gets more requests
        for the object, whatever few samples say.
        """
        return max(self.by_place[: place + 1])

    @property
    def patience_s(self):
        """How long a backend server may say nothing at all."""
        return max(SILENCE_LEAST_S, SILENCE_TIMES * self.slowest_s)

    def note_any(self, elapsed_s):
        """Take in the time of an answer, whether it waited for a slot or not."""
        faded_s = 0.0 if self.slowest_s == math.inf else self.slowest_s * SLOWEST_FADE
        self.slowest_s = max(elapsed_s, faded_s)

    def note(self, elapsed_s, place):
        """Take in the time of an answer."""
        self.by_place[place] += WEIGHT * (elapsed_s - self.by_place[place])
        self.mean_s += WEIGHT * (elapsed_s - self.mean_s)
