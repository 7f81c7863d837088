"""Decides which waiting request of a service gets the next slot.

The load pattern: while backend servers reject requests, or callers return together
after a loss of power, several requests wait at an instance. Some can't meet their
target any more, and would take slots from others that can. Urgent requests, or those of
one workspace, may be enough to fill all slots.
"""

import attrs

from snipebay_policy.waiting.wait_end import can_meet_deadline, can_meet_target

__all__ = ["Decision", "PassedOver", "decide"]

# Slots that go to other groups before a waiting group gets the next one.
MAX_PASSED_OVER = 8
# Groups whose counts are kept; those passed over least recently are dropped first.
MAX_GROUPS = 1024


class PassedOver:
    """Counts the slots that went to others while a group waited.

    A count lasts until the group gets a slot, also while none of its requests waits:
    an instance has so few slots a second that one request seldom sees several pass.
    """

    def __init__(self):
        self._counts = {}

    def overdue(self, group):
        """Return the count of a group that gets the next slot, 0 for any other."""
        count = self._counts.get(group, 0)
        return count if count >= MAX_PASSED_OVER else 0

    def record(self, group, waiting_groups):
        """Record that a group got a slot while others waited.

        Args:
            group: The group that got it.
            waiting_groups: Groups that still wait.
        """
        self._counts.pop(group, None)
        for other in {g for g in waiting_groups if g != group}:
            self._counts[other] = self._counts.pop(other, 0) + 1
        while len(self._counts) > MAX_GROUPS:
            del self._counts[next(iter(self._counts))]


@attrs.frozen
class Decision:
    """What happens with the waiting requests of a service.

    Attributes:
        order: :class:`WaitingRow` in the order in which they get slots.
        rejected: Those that can't meet their deadline any more.
    """

    order: tuple
    rejected: tuple


def decide(rows, passed_over, now_s, slot_due_s=0.0):
    """Return the :class:`Decision` on the waiting requests of a service.

    Args:
        rows: :class:`WaitingRow` of each.
        passed_over: :class:`PassedOver` of the service.
        now_s: Time.
        slot_due_s: Seconds until a slot is likely free.
    """
    kept, rejected = [], []
    for row in rows:
        (kept if can_meet_deadline(row, now_s) else rejected).append(row)
    if len(kept) > 1:
        kept.sort(key=lambda row: _rank(row, passed_over, now_s, slot_due_s))
    return Decision(tuple(kept), tuple(rejected))


def _rank(row, passed_over, now_s, slot_due_s):
    """Return the sort key: overdue groups, then requests that can be in time."""
    return (
        -passed_over.overdue(row.group),
        not can_meet_target(row, now_s, slot_due_s),
        row.priority,
        row.recent_use,
        row.target_s,
        row.request_id,
    )
