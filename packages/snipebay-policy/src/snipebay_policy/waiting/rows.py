"""What the decisions on waiting requests know of one of them."""

import math

import attrs

__all__ = ["FIRST_TRY_SHARE", "WaitingRow"]

# A request with less than this share of the usual timeout has probably been refused
# before: the first refusal and the shortest delay take more of it than a tenth.
FIRST_TRY_SHARE = 0.9


@attrs.frozen
class WaitingRow:
    """A request that waits for a slot.

    Attributes:
        request_id: Id unique at this instance.
        group: Kind and workspace; no group is passed over for ever.
        priority: Rank, 0 for the most urgent.
        recent_use: Recent use of its workspace, 0.0 for none.
        arrived_s: When it arrived.
        waiting_since_s: When it arrived, or when its last attempt failed.
        latency_s: Target latency of its route.
        deadline_s: Time by which the response must arrive.
        timeout_s: Time that callers usually give to a request of its route.
        expected_s: Expected service time.
        transfer_s: Time that sending its body takes.
        longest_s: Longest time that it may wait, infinity without a bound.
    """

    request_id: int
    group: tuple
    priority: int
    recent_use: float
    arrived_s: float
    waiting_since_s: float
    latency_s: float
    deadline_s: float
    timeout_s: float
    expected_s: float
    transfer_s: float = 0.0
    longest_s: float = math.inf

    @property
    def is_first_try(self):
        """True unless its caller has probably been refused before."""
        return self.deadline_s - self.arrived_s >= FIRST_TRY_SHARE * self.timeout_s

    @property
    def target_s(self):
        """Time by which the response should arrive, counted from the first try."""
        sent_s = (
            self.arrived_s if self.is_first_try else self.deadline_s - self.timeout_s
        )
        return sent_s + self.latency_s
