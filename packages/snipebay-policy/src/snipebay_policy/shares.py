"""Keeps the share of requests sent to other regions below its cap.

Each entry instance keeps its own shifted requests below the cap times its own
requests. Summing both sides over the instances keeps the inequality, so it holds
for the whole region without any communication between instances.
"""

import attrs

__all__ = ["LinkMeter", "Ramp", "ShareMeter"]

MAX_SHIFT_CREDIT = 20.0
MAX_TARGET_CREDIT = 5.0


@attrs.define
class Ramp:
    """A share that moves towards its target at a bounded rate.

    Attributes:
        per_s: Largest change per second.
        value: Current share.
    """

    per_s: float
    value: float = 0.0
    _updated_s: float | None = None

    def advance(self, target, now_s):
        """Return the share at a time, moved towards the target."""
        elapsed_s = now_s - self._updated_s if self._updated_s is not None else 0.0
        self._updated_s = now_s
        step = self.per_s * elapsed_s
        if target > self.value:
            self.value = min(target, self.value + step)
        else:
            self.value = max(target, self.value - step)
        return self.value


@attrs.define
class ShareMeter:
    """Counts the requests of a service in one region, and those sent elsewhere.

    Unused credit is bounded, so that a period of low load does not permit a burst:
    over any interval the shifted requests are at most the cap times all requests,
    plus ``MAX_SHIFT_CREDIT``, and never more than the cap times all requests since
    the start.
    """

    cap: float
    total: int = 0
    shifted: int = 0
    _credit: float = 0.0
    _target_credit: dict = attrs.Factory(dict)

    def count_request(self, shares):
        """Count a request and return the region that it should go to, or None.

        Args:
            shares: Current share of requests to send to each other region.
        """
        self.total += 1
        self._credit = min(MAX_SHIFT_CREDIT, self._credit + self.cap)
        for region, share in shares.items():
            credit = self._target_credit.get(region, 0.0) + share
            self._target_credit[region] = min(MAX_TARGET_CREDIT, credit)
        chosen = max(self._target_credit, key=self._target_credit.get, default=None)
        if chosen is None or self._target_credit[chosen] < 1 or not self.may_shift:
            return None
        self._target_credit[chosen] -= 1
        return chosen

    @property
    def may_shift(self):
        """True when one more request may be sent to another region."""
        return self._credit >= 1

    def count_shift(self):
        """Count a request that is sent to another region."""
        self._credit -= 1
        self.shifted += 1


@attrs.define
class LinkMeter:
    """Token bucket for this instance's bytes on one link between regions.

    Attributes:
        bytes_per_s: Rate at which tokens are added.
        burst_s: Capacity of the bucket, in seconds at that rate.
    """

    bytes_per_s: float
    burst_s: float = 0.25
    _credit: float = 0.0
    _updated_s: float | None = None

    def allows(self, size, now_s):
        """Return True when a response of a size fits the limit now."""
        self._refill(now_s)
        return self._credit >= min(size, self.bytes_per_s * self.burst_s)

    def consume(self, size, now_s):
        """Take tokens for bytes sent; the balance may become negative."""
        self._refill(now_s)
        self._credit -= size

    def _refill(self, now_s):
        full = self.bytes_per_s * self.burst_s
        if self._updated_s is None:
            self._credit = full
        else:
            gained = (now_s - self._updated_s) * self.bytes_per_s
            self._credit = min(full, self._credit + gained)
        self._updated_s = now_s
