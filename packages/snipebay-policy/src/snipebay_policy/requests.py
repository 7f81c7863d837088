"""Life cycle of requests, with at-most-once execution where required."""

import itertools

from snipebay_model.messages import Finish
from snipebay_model.units import STORED_RESPONSE_LIMIT_BYTES

from snipebay_policy.claims import ClaimSystem
from snipebay_policy.placement import Placement, dispatch_order
from snipebay_policy.request_reports import RequestReports
from snipebay_policy.work import (
    NOT_RUN,
    UNKNOWN,
    Attempt,
    Cancel,
    Dispatch,
    Problem,
    Relay,
    RequestRow,
)

__all__ = ["RequestSystem"]

# Time after the deadline in which control must confirm an abort.
ABORT_TIMEOUT_S = 1.0
# Time for a cancellation to reach a backend server of the local region.
LOCAL_CANCEL_DELAY_S = 0.02


class RequestSystem(ClaimSystem, RequestReports):
    """Assigns slots to requests and decides on retries, hedges and responses.

    Args:
        ctx: Shared state of this entry instance.
        loans: Borrows slots from other instances.
        commands: Sends commands to control.
        incarnation: Id of this run of the process; keeps claim ids unique across
            restarts.
    """

    def __init__(self, ctx, loans, commands, incarnation):
        self.ctx = ctx
        self.loans = loans
        self.commands = commands
        self.placement = Placement(ctx)
        self.rows = {}
        self._incarnation = incarnation
        self._rows_by_attempt = {}
        self._attempt_ids = itertools.count(1)

    # --- from the caller --------------------------------------------------

    def on_request(self, request_id, info, now_s):
        """Accept or refuse a request whose head has been read."""
        if info.service not in self.ctx.settings.services:
            # The service is unknown at this instance, but an earlier request with
            # this key may have run through another one.
            outcome = UNKNOWN if info.key else NOT_RUN
            detail = f"unknown service {info.service!r}"
            self.ctx.queue_action(Problem(request_id, 404, outcome, detail))
            return
        rules = self.ctx.rules(info.service)
        if not rules.idempotent and not info.key:
            self._refuse(
                request_id, 428, f"service {info.service!r} needs an Idempotency-Key"
            )
            return
        waiting = self.ctx.waiting.setdefault(info.service, {})
        is_full = len(waiting) >= rules.queue_limit
        if is_full and rules.idempotent:
            self._refuse(request_id, 503, "too many requests wait here", 1)
            return
        timeout_s = rules.deadline_ms / 1_000
        if info.timeout_s is not None:
            timeout_s = min(timeout_s, info.timeout_s)
        meter = self.ctx.meter(info.service)
        target = meter.count_request(self.ctx.shares(info.service, now_s))
        row = RequestRow(
            request_id,
            info,
            rules,
            target or self.ctx.region,
            now_s,
            now_s + timeout_s,
        )
        self.rows[request_id] = row
        if is_full:
            # An earlier request with this key may have run, so control must confirm
            # the abort before the request is refused as not run.
            row.claim_id = self._new_claim_id(row)
            self._begin_abort(row, now_s)
            return
        waiting[request_id] = row
        self.ctx.budget(info.service).deposit()
        if not rules.idempotent:
            row.claim_id = self._new_claim_id(row)
            self._send_claim(row, now_s)
        self.dispatch_waiting(info.service, now_s)

    def on_caller_disconnect(self, request_id, now_s):
        """Cancel the request of a caller that has disconnected, where that is safe."""
        row = self.rows.get(request_id)
        if row is None:
            return
        self.ctx.counts["caller_gone"] += 1
        if row.rules.idempotent:
            self._cancel_all(row, now_s)
            self._remove(row)
            return
        if any(attempt.is_written for attempt in row.attempts.values()):
            # The request may run, so its response is awaited and stored for a
            # retry by the caller.
            return
        self._cancel_all(row, now_s)
        self._begin_abort(row, now_s)

    # --- from backend servers ---------------------------------------------

    def may_write(self, attempt_id, now_s):
        """Return True if the request may be written now, and mark it as written.

        This is the last check before the first byte is sent: it stops a process
        that was suspended since the dispatch from writing past the deadline.
        """
        row = self._rows_by_attempt.get(attempt_id)
        if row is None or now_s >= row.deadline_s or not row.may_dispatch:
            return False
        row.attempts[attempt_id].is_written = True
        return True

    def on_response(self, attempt_id, now_s):
        """Relay the first response whose head arrives, and cancel other attempts."""
        row = self._rows_by_attempt.get(attempt_id)
        if row is None:
            return
        row.attempts[attempt_id].is_relayed = True
        for other in list(row.attempts):
            if other != attempt_id:
                self._cancel(row, other, now_s)
        self.ctx.queue_action(Relay(row.request_id, attempt_id))

    def on_response_end(self, attempt_id, now_s, *, status, content_type="", body=None):
        """Complete a request whose response has arrived in full.

        Args:
            attempt_id: Id of the attempt.
            now_s: Current time.
            status: HTTP status of the response.
            content_type: Content type of the response.
            body: Body of the response if small enough to be stored, else None.
        """
        row = self._rows_by_attempt.get(attempt_id)
        if row is None:
            return
        attempt = row.attempts[attempt_id]
        backend_id = attempt.slot.backend_id
        latency_s = now_s - attempt.started_s
        if status >= 500:
            self.ctx.health.record_failure(backend_id, row.rules, now_s)
        else:
            self.ctx.health.record_success(backend_id, latency_s, row.rules, now_s)
        self.ctx.counts["answered"] += 1
        if row.claim_state == "held":
            stored_body = (
                body
                if body is not None and len(body) <= STORED_RESPONSE_LIMIT_BYTES
                else None
            )
            self._record_claim_end(
                row, Finish(*self._claim_key(row), status, content_type, stored_body)
            )
        self._end_attempt(row, attempt_id, now_s)
        self._remove(row)
        self.dispatch_waiting(row.info.service, now_s)

    def on_rejection(self, attempt_id, now_s):
        """Fail an attempt that the backend server rejected without running it."""
        row = self._rows_by_attempt.get(attempt_id)
        if row is not None:
            row.attempts[attempt_id].is_written = False
            self._on_attempt_failed(
                row, attempt_id, now_s, "the backend server shed it"
            )

    def on_failure(self, attempt_id, now_s, reason):
        """Fail an attempt whose connection broke before the response was complete."""
        row = self._rows_by_attempt.get(attempt_id)
        if row is None:
            return
        backend_id = row.attempts[attempt_id].slot.backend_id
        self.ctx.health.record_failure(backend_id, row.rules, now_s)
        self._on_attempt_failed(row, attempt_id, now_s, reason)

    # --- time -------------------------------------------------------------

    def tick(self, now_s):
        """End requests past their deadline, hedge slow ones and fill free slots."""
        for row in list(self.rows.values()):
            if now_s >= row.deadline_s:
                self._on_deadline(row, now_s)
            else:
                self._hedge(row, now_s)
                self._retry_claim_command(row, now_s)
        for service in self.ctx.waiting:
            self.dispatch_waiting(service, now_s)

    def dispatch_waiting(self, service, now_s):
        """Dispatch waiting requests to free slots, in the order of dispatch_order()."""
        waiting = self.ctx.waiting.get(service)
        if not waiting:
            self.loans.offer_idle_slots(service, now_s)
            return
        if not self.ctx.may_serve(now_s):
            return
        missing_slots = {}
        exhausted_regions = set()
        served = self.placement.served_regions(service, now_s)
        for row in dispatch_order(waiting.values(), now_s):
            if not row.may_dispatch or now_s >= row.deadline_s:
                continue
            preferred = self.placement.preferred_region(row, served, now_s)
            if not self._try_dispatch(row, preferred, exhausted_regions, now_s):
                missing_slots[preferred] = missing_slots.get(preferred, 0) + 1
        for region, count in sorted(missing_slots.items()):
            self.loans.request_slots(service, region, count, now_s)
        self.loans.offer_idle_slots(service, now_s)

    # --- dispatch ---------------------------------------------------------

    def _try_dispatch(self, row, preferred, exhausted_regions, now_s):
        """Dispatch a waiting request if it finds a slot, and return whether it did.

        Args:
            row: The request.
            preferred: Region that it may go to besides ``row.region``.
            exhausted_regions: Regions in which an earlier request found no slot at
                all; extended by this call.
            now_s: Current time.
        """
        for region in dict.fromkeys((row.region, preferred)):
            if region in exhausted_regions:
                continue
            holding = self.placement.best_slot(row, region, now_s)
            if holding is None:
                if not row.excluded_backends:
                    exhausted_regions.add(region)
            elif self.placement.admit_to_region(row, region, now_s):
                self._dispatch(row, holding, now_s)
                return True
        return False

    def _dispatch(self, row, holding, now_s, *, is_hedge=False):
        attempt = Attempt(next(self._attempt_ids), holding.slot, now_s, is_hedge)
        self.ctx.slots.acquire(holding, now_s)
        self.ctx.slot_limits.take(holding.slot.backend_id, now_s)
        row.attempts[attempt.attempt_id] = attempt
        row.attempt_count += 1
        self._rows_by_attempt[attempt.attempt_id] = row
        self._dequeue(row)
        backend = self.ctx.backends[holding.slot.backend_id]
        self.ctx.counts["dispatched"] += 1
        self.ctx.queue_action(
            Dispatch(row.request_id, attempt.attempt_id, backend, row.deadline_s)
        )

    def _hedge(self, row, now_s):
        """Start a parallel attempt of a slow idempotent request."""
        after_s = row.rules.hedge_after_ms / 1_000
        running = list(row.attempts.values())
        if not after_s or not row.rules.idempotent or len(running) != 1:
            return
        first = running[0]
        if first.is_relayed or first.is_hedge or now_s - first.started_s < after_s:
            return
        row.excluded_backends.add(first.slot.backend_id)
        holding = self.placement.best_slot(row, self.ctx.region, now_s)
        if holding is not None and self.ctx.budget(row.info.service).try_withdraw():
            self.ctx.counts["hedges"] += 1
            self._dispatch(row, holding, now_s, is_hedge=True)

    # --- completion -------------------------------------------------------

    def _on_attempt_failed(self, row, attempt_id, now_s, reason):
        """Retry the request where that is safe, else fail it."""
        attempt = row.attempts[attempt_id]
        row.excluded_backends.add(attempt.slot.backend_id)
        self._end_attempt(row, attempt_id, now_s)
        service = row.info.service
        if attempt.is_relayed:
            # The adapter has already broken off the caller's response, so the
            # caller can see that it is incomplete.
            if row.claim_state == "held":
                self._record_claim_end(row, Finish(*self._claim_key(row), unknown=True))
            self._remove(row)
        elif row.attempts:
            return
        elif attempt.is_written and not row.rules.idempotent:
            self._record_claim_end(row, Finish(*self._claim_key(row), unknown=True))
            self._fail_request(row, 502, UNKNOWN, reason)
        elif (
            row.attempt_count <= row.rules.retries
            and self.ctx.budget(service).try_withdraw()
        ):
            self.ctx.counts["retries"] += 1
            self.ctx.waiting[service][row.request_id] = row
        elif not row.rules.idempotent:
            self._begin_abort(row, now_s)
        else:
            outcome = UNKNOWN if attempt.is_written else NOT_RUN
            self._fail_request(row, 502, outcome, reason)
        self.dispatch_waiting(service, now_s)

    def _on_deadline(self, row, now_s):
        """Abort or fail a request whose deadline has passed."""
        if row.claim_state == "aborting":
            if now_s >= row.deadline_s + ABORT_TIMEOUT_S:
                self._fail_request(row, 503, UNKNOWN, "control did not confirm in time")
            else:
                self._retry_claim_command(row, now_s)
            return
        attempts = list(row.attempts.values())
        is_written = any(attempt.is_written for attempt in attempts)
        is_relayed = any(attempt.is_relayed for attempt in attempts)
        self._cancel_all(row, now_s)
        self.ctx.counts["timeouts"] += 1
        if row.rules.idempotent:
            outcome = UNKNOWN if is_written else NOT_RUN
            status = 504 if is_written else 503
            self._fail_request(
                row, status, outcome, "the deadline has passed", 1, silent=is_relayed
            )
        elif is_written:
            self._record_claim_end(row, Finish(*self._claim_key(row), unknown=True))
            self._fail_request(
                row, 504, UNKNOWN, "the deadline has passed", silent=is_relayed
            )
        else:
            self._begin_abort(row, now_s)

    def _fail_request(
        self, row, status, outcome, detail, retry_after_s=None, *, silent=False
    ):
        """End a request with a problem document, or without one when ``silent``."""
        if not silent:
            self.ctx.counts[f"problem_{outcome}"] += 1
            problem = Problem(row.request_id, status, outcome, detail, retry_after_s)
            self.ctx.queue_action(problem)
        self._remove(row)

    def _refuse(self, request_id, status, detail, retry_after_s=None):
        self.ctx.counts["refused"] += 1
        self.ctx.queue_action(
            Problem(request_id, status, NOT_RUN, detail, retry_after_s)
        )

    def _dequeue(self, row):
        self.ctx.waiting[row.info.service].pop(row.request_id, None)

    def _remove(self, row):
        self._dequeue(row)
        self.rows.pop(row.request_id, None)

    # --- attempts ---------------------------------------------------------

    def _cancel_all(self, row, now_s):
        for attempt_id in list(row.attempts):
            self._cancel(row, attempt_id, now_s)

    def _cancel(self, row, attempt_id, now_s):
        attempt = row.attempts[attempt_id]
        self.ctx.queue_action(Cancel(attempt_id))
        self._end_attempt(row, attempt_id, now_s, is_cancelled=attempt.is_written)

    def _end_attempt(self, row, attempt_id, now_s, *, is_cancelled=False):
        attempt = row.attempts.pop(attempt_id)
        self._rows_by_attempt.pop(attempt_id, None)
        holding = self.ctx.slots.holdings.get(attempt.slot)
        if holding is None:
            return
        must_return = holding.is_revoked or now_s >= holding.until_s
        if is_cancelled:
            # The next request must not reach the backend server before the
            # cancellation does.
            link = self.ctx.settings.link(self.ctx.region, holding.region)
            is_local = holding.region == self.ctx.region
            wait_s = LOCAL_CANCEL_DELAY_S if is_local else 2 * link.delay_ms / 1_000
            self.ctx.slots.start_cooldown(holding, now_s + wait_s)
        elif holding.lender and must_return:
            self.loans.return_borrowed(holding)
        else:
            self.ctx.slots.release(attempt.slot, now_s)
