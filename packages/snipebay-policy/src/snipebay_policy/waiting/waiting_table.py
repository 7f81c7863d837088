"""State that the decisions on waiting requests of one instance depend on.

The load pattern: nearly all requests find nobody waiting and are sent at once, so rows
for the decisions are made only for those that wait.
"""

import collections
import math

from snipebay_policy.service_times import PRIMARY
from snipebay_policy.waiting.reserve import is_late
from snipebay_policy.waiting.rows import FIRST_TRY_SHARE, WaitingRow
from snipebay_policy.waiting.service_order import PassedOver, decide
from snipebay_policy.waiting.usual_timeouts import UsualTimeouts
from snipebay_policy.waiting.wait_end import wait_ends_s

__all__ = ["WaitingTable"]

# The leader counts the credit of a request for 0.6 s, the time of its reply included. A
# request that waits for longer could run beyond the limit of its workspace.
MAX_CREDIT_WAIT_S = 0.4


class WaitingTable:
    """Makes the inputs of the decisions on waiting requests.

    Args:
        ctx: :class:`RoutedCore` with the tables of this entry instance.
        rules: Rules for all routes.
    """

    def __init__(self, ctx, rules):
        self._ctx = ctx
        self._rules = rules
        self._passed_over = collections.defaultdict(PassedOver)
        self._usual_timeouts = UsualTimeouts()

    def record_timeout(self, row):
        """Record the timeout of a request that is added to the queue."""
        self._usual_timeouts.record(row.route, row.deadline_s - row.arrived_s)

    def record_slot(self, service, state, others):
        """Record that a request got a slot while others wait.

        Args:
            service: The service.
            state: Its :class:`WaitingRow`.
            others: :class:`WaitingRow` of those that still wait.
        """
        groups = [other.group for other in others]
        self._passed_over[service].record(state.group, groups)

    def decide(self, service, rows, now_s):
        """Return the :class:`Decision` on the requests that wait for a service."""
        found = [self._waiting_row(row, now_s) for row in rows if not row.needs_permit]
        return decide(found, self._passed_over[service], now_s)

    def is_new(self, row, now_s):
        """Return True for a first try that has just arrived, which is never late."""
        usual_s = self._usual_timeouts.usual_s(row.route)
        left_s = row.deadline_s - now_s
        return now_s == row.arrived_s and left_s >= FIRST_TRY_SHARE * usual_s

    def ends_s(self, state, now_s):
        """Return when the wait of a request for a slot ends."""
        wait_s = state.latency_s * self._rules.queue_wait_share
        return wait_ends_s(state, wait_s, self._rules.min_attempt_s, now_s)

    def late_until_s(self, state, now_s):
        """Return when the wait of a late request ends, None for any other."""
        return self.ends_s(state, now_s) if is_late(state, now_s) else None

    def _waiting_row(self, row, now_s):
        """Return the :class:`WaitingRow` of a request."""
        route, workspace = row.route, row.workspace
        name = workspace.name if workspace is not None else ""
        is_limited = workspace is not None and workspace.is_limited
        return WaitingRow(
            row.request_id,
            (route.name, name),
            row.priority,
            self._ctx.workspace_use.recent(name, now_s) if name else 0.0,
            row.arrived_s,
            row.waiting_since_s,
            route.target_latency_s,
            row.deadline_s,
            self._usual_timeouts.usual_s(route),
            self._ctx.times(row.service).expected_s(PRIMARY),
            longest_s=MAX_CREDIT_WAIT_S if is_limited else math.inf,
        )
