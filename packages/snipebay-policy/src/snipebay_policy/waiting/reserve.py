"""Decides how many slots must be free for a request that will be late.

The load pattern: callers that were refused return while the burst goes on, and are late
by then. Instances do not know what waits at others, so a late request would take a slot
from one elsewhere that can still be in time. A late one leaves some slots free instead,
except at the end of its wait, when it takes any that is free.
"""

import math

from snipebay_policy.waiting.wait_end import POLL_S, can_meet_target, fastest_s

__all__ = ["has_room", "is_late"]

# Share of the slots of a region that late requests leave free. In the replay, shares of
# 0.1 to 0.3 serve as many in time, and 0.1 serves most in all.
RESERVED_SHARE = 0.1


def is_late(row, now_s):
    """Return True if a request can't meet its target, and another one could.

    Args:
        row: :class:`WaitingRow`.
        now_s: Time.
    """
    is_possible = fastest_s(row) <= row.latency_s
    return is_possible and not can_meet_target(row, now_s)


def has_room(load, slots, ends_s, now_s):
    """Return True if a late request may take a slot.

    Args:
        load: Requests that run or wait at the backend servers of a region.
        slots: Slots of these.
        ends_s: When its wait ends.
        now_s: Time.
    """
    is_last = now_s >= ends_s - POLL_S
    reserved = 0 if is_last else math.floor(RESERVED_SHARE * slots)
    return load + 1 <= slots - reserved
