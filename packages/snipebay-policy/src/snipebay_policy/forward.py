"""Carries requests on routes of the traffic plan from arrival to their responses."""

import collections
import math

from snipebay_policy.arrivals import check_arrival
from snipebay_policy.backend_reports import BackendReports
from snipebay_policy.dispatch_queue import DispatchQueue
from snipebay_policy.forward_reasons import (
    deadline_reason,
    problem_for,
    refusal_reason,
    unstated_refusal_detail,
)
from snipebay_policy.forward_rows import ForwardRow, ForwardRules
from snipebay_policy.work import PROMISE_STATUSES, Cancel, Probe, Problem, Relay
from snipebay_policy.workspaces.keys import allowed_regions
from snipebay_policy.workspaces.quota import QuotaSystem

__all__ = ["ForwardSystem"]


class ForwardSystem(BackendReports):
    """Admits, dispatches, retries and refuses requests.

    Args:
        ctx: :class:`RoutedCore` with the tables of this entry instance.
        rules: Rules for all routes.

    Attributes:
        is_closed: True when new requests are refused because the instance stops.
        ends_s: When all requests have ended because the instance stops.
        rows: Request by id.
        queue: Requests that wait for a slot or a permit.
        quota: Quotas of workspaces; some requests wait there first.
    """

    def __init__(self, ctx, rules=None):
        self.ctx = ctx
        self.rules = rules or ForwardRules()
        self.is_closed = False
        self.ends_s = math.inf
        self.rows = {}
        self.queue = DispatchQueue(ctx, self.rules, self._fail_request)
        self.quota = QuotaSystem(ctx, self.rules, self._start, self._fail_request)

    # --- from the caller --------------------------------------------------

    def on_request(self, arrival, now_s):
        """Admit or refuse a request whose head and body have been read.

        Args:
            arrival: The :class:`Arrival`.
            now_s: Time.
        """
        found = check_arrival(arrival, self, now_s)
        if isinstance(found, Problem):
            self.ctx.queue_action(found)
            return
        route, workspace = found
        service = self.ctx.table.next_service(route)
        key = arrival.key if route.session_affinity else ""
        regions = allowed_regions(route, workspace)
        region = self.ctx.region_for(service, key, regions)
        if key and region:
            self.ctx.record_key(service, region, key, now_s)
        deadline_s = min(now_s + self.limit_s(arrival, route), self.ends_s)
        row = ForwardRow(
            arrival.request_id,
            route,
            service,
            region,
            key,
            now_s,
            deadline_s,
            workspace=workspace,
            allowed_regions=regions,
        )
        if arrival.attempts_before_hop is not None:
            row.has_hopped = True
            row.attempt_count = min(arrival.attempts_before_hop, route.max_attempts - 1)
        self.rows[row.request_id] = row
        if workspace is None:
            self._start(row, now_s)
        else:
            self.quota.admit(arrival, row, now_s)

    def _start(self, row, now_s):
        """Put an admitted request into the queue."""
        if not row.has_hopped:
            # Only the first instance counts a request.
            self.ctx.count_request(row.service)
        self.queue.add(row)
        self.queue.dispatch_waiting(row.service, now_s)

    @staticmethod
    def limit_s(arrival, route):
        """Return the longest time that a request may take in seconds."""
        timeout_s = route.timeout_s
        if arrival.timeout_s is not None:
            timeout_s = min(arrival.timeout_s, timeout_s)
        return timeout_s - arrival.waited_s

    def on_caller_disconnect(self, request_id, now_s):
        """Cancel a request whose caller has disconnected.

        A request that is not idempotent and was sent keeps running: how far it got is
        unknown, and a cancellation could leave it half done.
        """
        row = self.rows.get(request_id)
        if row is None:
            return
        if row.attempt is not None and not row.route.idempotent:
            # Its slot stays in use until the response or the deadline.
            row.is_relayed = True
            return
        if row.attempt is not None:
            self.ctx.queue_action(Cancel(row.attempt.attempt_id))
        self._remove_and_dispatch(row, now_s)

    # --- from backend servers ---------------------------------------------

    def may_write(self, attempt_id, now_s):
        """Return True if the request may be written now, and mark it as written."""
        row = self.queue.rows_by_attempt.get(attempt_id)
        if row is None or row.attempt is None or now_s >= row.deadline_s:
            return False
        row.attempt.is_written = True
        return True

    def on_response(self, attempt_id, status, now_s):
        """Handle a complete response, or the head of a streamed one: relay or retry."""
        row = self.queue.rows_by_attempt.get(attempt_id)
        if row is None or row.attempt is None:
            return
        fleet = self.ctx.fleet
        self._record_response(row, now_s)
        if row.attempt.is_hop:
            # The other instance has retried the request if that was possible.
            pass
        elif status >= 500:
            self._record_failure(row.attempt, now_s, is_connection=False)
            if row.route.idempotent and self._acquire_retry(row, now_s):
                self.ctx.queue_action(Cancel(attempt_id))
                row.may_have_run = True
                self._retry(row, now_s)
                return
        else:
            if row.attempt.member.ejections:
                self.ctx.record_event(
                    "backend server recovered", _backend_id(row.attempt.member)
                )
            fleet.record_success(row.attempt.member)
            if row.attempt.found_slot:
                elapsed_s = now_s - row.attempt.started_s
                times = self.ctx.times(row.service)
                times.record_unqueued(elapsed_s / row.attempt.pace, row.attempt.tier)
        if status in PROMISE_STATUSES and not (row.route.idempotent or row.is_relayed):
            self._fail_unstated_refusal(row, status, now_s)
            return
        row.is_relayed = True
        self.ctx.queue_action(Relay(row.request_id, attempt_id))

    def _fail_unstated_refusal(self, row, status, now_s):
        """Fail a request that got a refusal which doesn't say that it has not run.

        Its caller would take the status for a promise, and send the request again.
        """
        self.ctx.queue_action(Cancel(row.attempt.attempt_id))
        row.may_have_run = True
        detail = unstated_refusal_detail(status)
        self._fail_request(row, 502, "unstated_refusal", detail, now_s)
        self.queue.dispatch_waiting(row.service, now_s)

    def on_response_end(self, attempt_id, now_s):
        """Remove a request whose relayed response has ended."""
        row = self.queue.rows_by_attempt.get(attempt_id)
        if row is not None:
            self._remove_and_dispatch(row, now_s)

    def on_rejection(
        self, attempt_id, reason, now_s, *, is_misdirected=False, retry_after_s=None
    ):
        """Handle a rejection by a backend server or instance that did not run it.

        Args:
            attempt_id: The attempt.
            reason: Why it was rejected.
            now_s: Time.
            is_misdirected: True when another backend server has the address now.
            retry_after_s: Delay that it suggested before a retry, or None.
        """
        row = self.queue.rows_by_attempt.get(attempt_id)
        if row is None or row.attempt is None:
            return
        self._record_response(row, now_s)
        if is_misdirected:
            self.ctx.fleet.mark_stale(row.attempt.member)
        if row.is_relayed:
            self._remove_and_dispatch(row, now_s)
            return
        row.attempt.is_written = False
        self._on_attempt_failed(row, now_s, "rejected", reason, retry_after_s)

    def on_failure(self, attempt_id, reason, now_s):
        """Handle a connection that failed before the response was complete."""
        row = self.queue.rows_by_attempt.get(attempt_id)
        if row is None or row.attempt is None:
            return
        self._record_failure(row.attempt, now_s)
        if row.is_relayed:
            # The adapter has closed the caller's connection in mid-response, so that
            # the caller sees that the response is incomplete.
            self._remove_and_dispatch(row, now_s)
            return
        if not row.attempt.is_hop:
            row.avoid_domains.add(row.attempt.member.row.domain)
        self._on_attempt_failed(row, now_s, "connection", reason)

    def _record_response(self, row, now_s):
        """Record that a backend server responded, and how long it took."""
        times = self.ctx.times(row.service)
        if not row.attempt.is_hop:
            self.ctx.reach.on_response(now_s)
            times.record_response(now_s - row.attempt.started_s)
        self.ctx.fleet.record_response(row.attempt.member, now_s, times.stall_timeout_s)

    def _record_failure(self, attempt, now_s, *, is_connection=True):
        """Count a failure of a backend server, and log an ejection.

        While this instance reaches none, failures say nothing about them.
        """
        if attempt.is_hop or self.ctx.reach.is_isolated:
            return
        member = attempt.member
        if is_connection:
            self.ctx.reach.on_failure(member.row)
        if self.ctx.fleet.record_failure(member, now_s):
            self.ctx.record_event(
                "backend server ejected",
                _backend_id(member),
                failures=member.failures,
                seconds=round(member.ejected_until_s - now_s, 1),
            )

    def count_by_service(self):
        """Return the number of running and waiting requests by service."""
        return collections.Counter(row.service for row in self.rows.values())

    # --- time -------------------------------------------------------------

    def tick(self, now_s):
        """End requests past their deadline, retry stalled ones, dispatch the rest."""
        for row in [row for row in self.rows.values() if now_s >= row.deadline_s]:
            self._on_deadline(row, now_s)
        for row in list(self.rows.values()):
            if row.is_stalled(now_s, self.ctx.times(row.service).stall_timeout_s):
                self._retry_elsewhere(row, now_s)
        self._update_reach(now_s)
        self.quota.tick(now_s)
        self.queue.tick(now_s)

    def _update_reach(self, now_s):
        """Detect a loss of reach, and probe backend servers to tell."""
        list_backends = self.ctx.fleet.open_rows
        attempts = (
            row.attempt
            for row in self.queue.rows_by_attempt.values()
            if not row.attempt.is_hop
        )
        self.ctx.reach.tick(attempts, list_backends, now_s)
        for backend in self.ctx.reach.next_probes(list_backends, now_s):
            self.ctx.queue_action(Probe(backend))

    def on_probe(self, is_connected, now_s):
        """Handle the result of a :class:`Probe`."""
        if not self.ctx.reach.on_probe(is_connected, now_s):
            return
        self.ctx.on_reach_changed(now_s)
        if self.ctx.reach.is_isolated:
            for row in [r for r in self.rows.values() if r.may_hop]:
                self._retry_elsewhere(row, now_s)

    def _retry_elsewhere(self, row, now_s):
        """Retry a request whose backend server sends nothing, within the budget."""
        attempt = row.attempt
        if not self._acquire_retry(row, now_s):
            return
        row.may_have_run |= attempt.is_written
        self.ctx.queue_action(Cancel(attempt.attempt_id))
        self._record_failure(attempt, now_s)
        self._retry(row, now_s)

    # --- ending -----------------------------------------------------------

    def end_by(self, ends_s):
        """Let each request, also a later one, end by a time, since the instance stops.

        Its caller then gets a response instead of a connection that closes.
        """
        self.ends_s = ends_s
        for row in self.rows.values():
            row.deadline_s = min(row.deadline_s, ends_s)

    def _on_attempt_failed(self, row, now_s, reason, detail, retry_after_s=None):
        """Retry a request when that is safe, otherwise fail it."""
        attempt = row.attempt
        row.may_have_run |= attempt.is_written
        row.attempt_count += attempt.is_hop and attempt.is_written
        may_repeat = row.route.idempotent or not attempt.is_written
        if may_repeat and self._acquire_retry(row, now_s):
            self._retry(row, now_s)
        elif attempt.is_written or reason != "connection" or not self._hop(row, now_s):
            self._fail_request(row, 503, reason, detail, now_s, retry_after_s)
        self.queue.dispatch_waiting(row.service, now_s)

    def _hop(self, row, now_s):
        """Send a request that reached no backend server through another instance."""
        self._end_attempt(row)
        return self.queue.try_hop(row, now_s)

    def _acquire_retry(self, row, now_s):
        """Return True and take from the retry budget if another attempt is possible."""
        return (
            row.request_id in self.rows
            and self.queue.may_retry(row)
            and row.attempt_count < row.route.max_attempts
            and row.deadline_s - now_s > self.rules.min_attempt_s
            and self.ctx.budget(row.service).try_withdraw()
        )

    def _retry(self, row, now_s):
        self._end_attempt(row)
        row.waiting_since_s = now_s
        self.queue.add(row)
        self.queue.try_dispatch(row, now_s)

    def _on_deadline(self, row, now_s):
        """End a request whose deadline has passed."""
        attempt = row.attempt
        if attempt is not None:
            row.may_have_run |= attempt.is_written
            self.ctx.queue_action(Cancel(attempt.attempt_id))
            if attempt.member.last_response_s < attempt.started_s:
                self._record_failure(attempt, now_s)
        if row.is_relayed:
            self._remove(row)
        else:
            status = 504 if row.may_have_run else 503
            self._fail_request(row, status, *deadline_reason(row, self.ends_s), now_s)
        self.queue.dispatch_waiting(row.service, now_s)

    def _fail_request(self, row, status, reason, detail, now_s, retry_after_s=None):
        """Report a failure to the caller; 503 means that the request did not run."""
        if row.may_have_run and status == 503:
            status = 502
        if row.request_id in self.rows:
            if status == 503:
                delays = self.queue.retry_delays
                retry_after_s = retry_after_s or delays.refused_s(row.service, now_s)
                self.quota.give_back(row)
            elif status != 429:
                retry_after_s = None
            # For a request that was sent, the last dispatch has the inputs.
            inputs = {} if row.attempt_count else self._refusal_reason(row)
            problem_args = (status, reason, detail, retry_after_s, inputs)
            self.ctx.queue_action(problem_for(row, *problem_args))
        self._remove(row)

    def _refusal_reason(self, row):
        slots = self.ctx.fleet.capacity(row.service, row.arrived_s)
        limits = self.ctx.rate_limits_by_service().get(row.service, ())
        return refusal_reason(row, slots, self.ctx.view.revision, limits)

    def _end_attempt(self, row):
        attempt, row.attempt = row.attempt, None
        if attempt is not None:
            self.queue.rows_by_attempt.pop(attempt.attempt_id, None)
            self.ctx.fleet.end_request(attempt.member)

    def _remove_and_dispatch(self, row, now_s):
        """Remove a request and give its slot to one that waits."""
        self._remove(row)
        self.queue.dispatch_waiting(row.service, now_s)

    def _remove(self, row):
        self.queue.remove(row)
        if row.workspace is not None:
            self.quota.end(row)
        self._end_attempt(row)
        self.rows.pop(row.request_id, None)


def _backend_id(member):
    return member.row.backend_id
