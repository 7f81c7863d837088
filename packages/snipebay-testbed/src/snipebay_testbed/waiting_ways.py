"""Ways to order waiting requests that :mod:`waiting_study` compares."""

import attrs
from snipebay_policy.retry_delay import MAX_DELAY_S, METER_WINDOW_S, RetryDelays
from snipebay_policy.waiting.service_order import decide
from snipebay_policy.waiting.wait_end import fastest_s, wait_ends_s

__all__ = ["KINDS", "WAYS", "Delays", "Way"]

# Requests per second, service time, target and deadline of each kind.
KINDS = (
    (366, 0.480, 0.400, 2.5),
    (152, 0.600, 1.000, 3.0),
    (152, 0.324, 0.300, 1.5),
    (152, 0.184, 0.250, 1.0),
)


class Delays(RetryDelays):
    """The product's delays, which don't depend on the time left."""

    def after_s(self, now_s, left_s):
        return self.refused_s("s", now_s)


class BacklogDelays(Delays):
    """Callers return when those told before are served by a quarter of the slots."""

    def __init__(self, min_delay_s, owner):
        super().__init__(min_delay_s, owner)
        self._returns_s = []

    def after_s(self, now_s, left_s):
        meter = self._meter("s")
        meter.record(True, now_s)
        self._returns_s = [due_s for due_s in self._returns_s if due_s > now_s]
        per_s = max(meter.served / METER_WINDOW_S / 4, 0.5 / self._min_delay_s)
        backlog_s = len(self._returns_s) / per_s
        expected_s = max(self._min_delay_s / (1.0 - meter.refused_share), backlog_s)
        delay_s = self._spread(min(MAX_DELAY_S, expected_s))
        self._returns_s.append(now_s + min(delay_s, left_s / 3))
        return delay_s


def by_arrival(rows, passed_over, now_s):
    return sorted(rows, key=lambda r: (r.priority, r.arrived_s))


def latest_first(rows, passed_over, now_s):
    newest = len(rows) > 2
    return sorted(rows, key=lambda r: (r.priority, -r.arrived_s if newest else 0.0))


def least_work(rows, passed_over, now_s):
    # The product knows the time of the service only; here that of the kind is known.
    return sorted(rows, key=lambda r: (r.priority, KINDS[r.group[0]][1], r.arrived_s))


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


WAYS = {
    "arrival order (earlier)": Way(by_arrival, eighth_ends_s, Delays),
    "latest first": Way(latest_first, eighth_ends_s, Delays),
    "least work left": Way(least_work, eighth_ends_s, Delays),
    "feasible target": Way(by_target, eighth_ends_s, Delays),
    "and wait to target": Way(by_target, target_ends_s, Delays),
    "and wait to deadline": Way(by_target, last_ends_s, Delays),
    "and last tries wait": Way(by_target, wait_ends_s, Delays),
    "and reserve": Way(by_target, eighth_ends_s, Delays, True),
    "arrival, reserve, last": Way(by_arrival, wait_ends_s, Delays, True),
    "arrival, backlog delays": Way(by_arrival, eighth_ends_s, BacklogDelays),
    "kept": Way(by_target, wait_ends_s, Delays, True),
    "kept, backlog delays": Way(by_target, wait_ends_s, BacklogDelays, True),
    "ideal queue": None,
}
