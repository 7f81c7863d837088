"""Decides how long a request waits for a slot before it is refused.

The load pattern: a burst exceeds the slots, and callers that were refused once return
within their deadline. A caller that returns has less time left than usual.
It does not return again, so a refusal would end it, while a late response is still of
some value.
"""

__all__ = [
    "can_meet_deadline",
    "can_meet_target",
    "fastest_s",
    "is_return_in_vain",
    "may_return",
    "wait_ends_s",
]

# Interval between two choices for the requests that wait.
POLL_S = 0.025
# Smallest plausible service time as a share of the expected one: a backend server that
# has cached the data takes about a third.
FASTEST_SHARE = 1 / 3
# The same as a share of the usual timeout, at most. A request with the whole timeout is
# thus always sent, so that an estimate that is too long gets corrected.
MAX_TIMEOUT_SHARE = 1 / 4
# Share of the remaining time after which callers return at the latest.
HONOURED_SHARE = 1 / 3


def fastest_s(row):
    """Return the smallest plausible time to a response once a slot is free."""
    fastest = min(row.expected_s * FASTEST_SHARE, row.timeout_s * MAX_TIMEOUT_SHARE)
    return fastest + row.transfer_s


def can_meet_target(row, now_s, slot_due_s=0.0):
    """Return True while a response by the target is plausible.

    Args:
        row: :class:`WaitingRow`.
        now_s: Time.
        slot_due_s: Seconds until a slot is likely free.
    """
    return now_s + slot_due_s + fastest_s(row) <= row.target_s


def can_meet_deadline(row, now_s):
    """Return True while a response by the deadline is plausible."""
    return now_s + fastest_s(row) <= row.deadline_s


def is_return_in_vain(row, now_s):
    """Return True if a caller that comes back could not be served by its deadline."""
    return (row.deadline_s - now_s) * (1.0 - HONOURED_SHARE) < fastest_s(row)


def may_return(row, now_s):
    """Return True if the caller, once refused, may come back and still be served."""
    return row.is_first_try and not is_return_in_vain(row, now_s)


def wait_ends_s(row, wait_s, min_attempt_s, now_s):
    """Return when the wait of a request for a slot ends.

    Args:
        row: :class:`WaitingRow`.
        wait_s: Longest wait of a request whose caller may return. The wait ends one
            poll before, so that the refusal is no later.
        min_attempt_s: Shortest time before the deadline in which an attempt starts.
        now_s: Time.
    """
    last_s = row.deadline_s - max(min_attempt_s, fastest_s(row))
    last_s = min(last_s, row.waiting_since_s + row.longest_s)
    if may_return(row, now_s):
        return min(row.waiting_since_s + max(0.0, wait_s - POLL_S), last_s)
    return last_s
