"""Ways to order waiting requests that :mod:`waiting_study` compares."""

import math

import attrs
from snipebay_policy.retry_delay import MAX_DELAY_S, RetryDelays
from snipebay_policy.waiting.service_order import decide
from snipebay_policy.waiting.wait_end import fastest_s, wait_ends_s

__all__ = ["WAYS", "ReciprocalDelays", "Way"]


class ReciprocalDelays(RetryDelays):
    """Delays by the reciprocal of the served share alone, the earlier rule."""

    def refused_s(self, service, now_s, left_s=math.inf, *, may_return=True):
        meter = self._meter(service)
        meter.record(True, now_s)
        expected_s = self._min_delay_s / (1.0 - meter.refused_share)
        return self._spread(min(MAX_DELAY_S, expected_s))


def by_arrival(rows, passed_over, now_s):
    return sorted(rows, key=lambda r: (r.priority, r.arrived_s))


def latest_first(rows, passed_over, now_s):
    newest = len(rows) > 2
    return sorted(rows, key=lambda r: (r.priority, -r.arrived_s if newest else 0.0))


def least_work(rows, passed_over, now_s):
    return sorted(rows, key=lambda r: (r.priority, r.expected_s, r.arrived_s))


def by_target(rows, passed_over, now_s):
    return decide(rows, passed_over, now_s).order


def eighth_ends_s(row, wait_s, min_attempt_s, now_s):
    return min(row.waiting_since_s + wait_s, row.deadline_s - min_attempt_s)


def target_ends_s(row, wait_s, min_attempt_s, now_s):
    """Wait while the target can be met, and to the end if that is past."""
    last_s = row.deadline_s - max(min_attempt_s, fastest_s(row))
    return min(max(row.waiting_since_s + wait_s, row.target_s - fastest_s(row)), last_s)


def last_ends_s(row, wait_s, min_attempt_s, now_s):
    return row.deadline_s - max(min_attempt_s, fastest_s(row))


@attrs.frozen
class Way:
    """Rules of the instances.

    Attributes:
        order: Order of the waiting requests.
        ends_s: End of the wait for a slot.
        delays: Delays of refused callers.
        has_reserve: True if late requests leave slots free.
    """

    order: object
    ends_s: object
    delays: object
    has_reserve: bool = False


OLD = ReciprocalDelays
WAYS = {
    "arrival order (earlier)": Way(by_arrival, eighth_ends_s, OLD),
    "latest first": Way(latest_first, eighth_ends_s, OLD),
    "least work left": Way(least_work, eighth_ends_s, OLD),
    "feasible target": Way(by_target, eighth_ends_s, OLD),
    "and wait to target": Way(by_target, target_ends_s, OLD),
    "and wait to deadline": Way(by_target, last_ends_s, OLD),
    "and last tries wait": Way(by_target, wait_ends_s, OLD),
    "and reserve": Way(by_target, eighth_ends_s, OLD, True),
    "reserve, last tries wait": Way(by_target, wait_ends_s, OLD, True),
    "arrival, reserve, last": Way(by_arrival, wait_ends_s, OLD, True),
    "arrival, new delays": Way(by_arrival, eighth_ends_s, RetryDelays),
    "kept": Way(by_target, wait_ends_s, RetryDelays, True),
    "ideal queue": None,
}
