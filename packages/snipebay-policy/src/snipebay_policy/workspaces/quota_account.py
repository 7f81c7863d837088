"""State of one limited workspace at one entry instance, and when it is reported."""

import math

import attrs
from snipebay_model.credits import CreditReport

from snipebay_policy.workspaces.credit_bucket import CreditBucket
from snipebay_policy.workspaces.over_limit import OverLimit

__all__ = ["REFRESH_S", "QuotaAccount"]

# A part is reported again after this time, so that it outlasts a lost renewal.
REFRESH_S = 1.7
# It is reported earlier if the requests differ from it, once there are some of them.
MIN_REPORTED = 4
MORE, LESS = 1.5, 0.4
# A part that has shrunk to less than this is reported at once.
GIVEN_UP = 0.9
# Requests per second without which the leader gives no part.
MIN_USE_PER_S = 0.5
# Spare credits serve the requests of this time: a round trip to the leader and the
# interval of its work.
SPARE_TIME_S = 0.3
MAX_SPARE = 4
# With a longer gap, a spare credit is likely to be returned unused.
MAX_SPARE_GAP_S = 15.0
# Longest gap between requests that counts, and the weight of the newest one.
MAX_GAP_S, GAP_WEIGHT = 20.0, 0.3


@attrs.define
class QuotaAccount:
    """Requests of one limited workspace.

    Attributes:
        name: Name of the workspace.
        bucket: Its :class:`CreditBucket`.
        over: Its :class:`OverLimit`.
        wanted: Requests that asked for credit since the last report.
        admitted: Those that got it.
        used_s: When the last request asked.
        reported_s: When it was reported last.
        reported_per_s: Rate of the part that was reported then.
        parked: Pairs of request and end of its wait by id, in order of arrival.
        ask_id: Id of the open request for credit, 0 without one.
        asked_s: When it was sent.
        gap_s: Moving average of the time between two requests.
        spare_after_s: When spare credit may be asked for again.
    """

    name: str
    bucket: CreditBucket
    over: OverLimit
    wanted: int = 0
    admitted: int = 0
    used_s: float = 0.0
    reported_s: float = 0.0
    reported_per_s: float = 0.0
    parked: dict = attrs.Factory(dict)
    ask_id: int = 0
    asked_s: float = -math.inf
    gap_s: float = MAX_GAP_S
    spare_after_s: float = -math.inf

    def record_request(self, now_s):
        """Count a request that asks for credit."""
        gap_s = min(max(0.0, now_s - self.used_s), MAX_GAP_S)
        self.gap_s += GAP_WEIGHT * (gap_s - self.gap_s)
        self.wanted += 1
        self.used_s = now_s

    def spare_wanted(self, now_s):
        """Return how many spare credits to ask for.

        They serve the requests that arrive until the next reply. An instance with a
        part saves up credit there.
        """
        bucket = self.bucket
        if self.gap_s > MAX_SPARE_GAP_S or now_s < self.spare_after_s:
            return 0
        if bucket.per_s or self.over.is_denied(now_s):
            return 0
        target = min(MAX_SPARE, 1 + int(SPARE_TIME_S / max(self.gap_s, 0.01)))
        return max(0, target - len(bucket.spare))

    def is_report_due(self, now_s):
        """Return True if the leader should know what the requests need."""
        elapsed_s = now_s - self.reported_s
        per_s = self.bucket.per_s
        if per_s < GIVEN_UP * self.reported_per_s:
            # The leader can't give it to others before this report.
            return True
        if not (self.wanted or per_s):
            return False
        if elapsed_s >= REFRESH_S:
            return True
        expected = elapsed_s * max(per_s, MIN_USE_PER_S)
        is_more = self.wanted >= max(MIN_REPORTED, MORE * expected)
        is_less = expected >= MIN_REPORTED and self.wanted < LESS * expected
        return is_more or is_less

    def report(self, now_s):
        """Return the :class:`CreditReport` since the last one."""
        wanted, admitted = self.wanted, self.admitted
        self.wanted = self.admitted = 0
        bucket = self.bucket
        self.reported_s, self.reported_per_s = now_s, bucket.per_s
        held = len(bucket.spare)
        return CreditReport(
            self.name, wanted, admitted, bucket.per_s, bucket.burst, held
        )
