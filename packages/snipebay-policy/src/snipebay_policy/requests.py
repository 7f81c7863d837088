"""Carries each request from arrival to its answer, at most once where needed."""

import itertools

from snipebay_model.messages import Abort, Claim, Finish, Outcome
from snipebay_model.units import STORED_RESPONSE_LIMIT_BYTES

from snipebay_policy.placement import Placement, in_order
from snipebay_policy.work import (
    NOT_RUN,
    UNKNOWN,
    Attempt,
    Cancel,
    Dispatch,
    Problem,
    Relay,
    Replay,
    RequestRow,
)

__all__ = ["RequestSystem"]

ABORT_PATIENCE_S = 1.0
NEAR_CANCEL_S = 0.02


class RequestSystem:
    """Gives slots to requests and decides on retries, hedges and answers.

    Args:
        ctx: Tables of this entry instance.
        loans: Where to ask for slots.
        commands: Sends commands to control.
        incarnation: Makes claim ids unique over restarts.
    """

    def __init__(self, ctx, loans, commands, incarnation):
        self.ctx = ctx
        self.loans = loans
        self.commands = commands
        self.placement = Placement(ctx)
        self.rows = {}
        self._incarnation = incarnation
        self._by_attempt = {}
        self._attempt_ids = itertools.count(1)

    # --- from the caller --------------------------------------------------

    def arrive(self, request_id, info, now_s):
        """Take in a request whose head has been read."""
        if info.service not in self.ctx.settings.services:
            # Where nothing is known of the service, an earlier send of the key
            # may yet have run.
            outcome = UNKNOWN if info.key else NOT_RUN
            detail = f"unknown service {info.service!r}"
            self.ctx.act(Problem(request_id, 404, outcome, detail))
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
        target = meter.arrive(self.ctx.shares(info.service, now_s))
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
            # An earlier send may have run, so even a refusal asks control.
            row.claim_id = self._new_claim_id(row)
            self._begin_abort(row, now_s)
            return
        waiting[request_id] = row
        self.ctx.budget(info.service).earn()
        if not rules.idempotent:
            row.claim_id = self._new_claim_id(row)
            self._send_claim(row, now_s)
        self.pump(info.service, now_s)

    def caller_gone(self, request_id, now_s):
        """Stop work for a caller that has left."""
        row = self.rows.get(request_id)
        if row is None:
            return
        self.ctx.counts["caller_gone"] += 1
        if row.rules.idempotent:
            self._cancel_all(row, now_s)
            self._forget(row)
            return
        if any(attempt.wrote for attempt in row.attempts.values()):
            # Whether it ran is decided by the backend server, so its answer is
            # awaited and kept for a resend.
            return
        self._cancel_all(row, now_s)
        self._begin_abort(row, now_s)

    # --- from backend servers ---------------------------------------------

    def may_write(self, attempt_id, now_s):
        """Return True if the request may be written now, and take note of it.

        This is the last check before the first byte: a process that stood
        still since the dispatch finds out here that its time is over.
        """
        row = self._by_attempt.get(attempt_id)
        if row is None or now_s >= row.deadline_s or not row.may_dispatch:
            return False
        row.attempts[attempt_id].wrote = True
        return True

    def answered(self, attempt_id, now_s):
        """Take the head of an answer; the first one goes to the caller."""
        row = self._by_attempt.get(attempt_id)
        if row is None:
            return
        row.attempts[attempt_id].won = True
        for other in list(row.attempts):
            if other != attempt_id:
                self._cancel(row, other, now_s)
        self.ctx.act(Relay(row.request_id, attempt_id))

    def finished(self, attempt_id, now_s, *, status, content_type="", body=None):
        """Take note that a whole answer has arrived.

        Args:
            attempt_id: The try.
            now_s: Time.
            status: HTTP status of the answer.
            content_type: Its content type.
            body: Its body when small enough to be kept, else None.
        """
        row = self._by_attempt.get(attempt_id)
        if row is None:
            return
        attempt = row.attempts[attempt_id]
        backend_id = attempt.slot.backend_id
        latency_s = now_s - attempt.started_s
        if status >= 500:
            self.ctx.health.fail(backend_id, row.rules, now_s)
        else:
            self.ctx.health.succeed(backend_id, latency_s, row.rules, now_s)
        self.ctx.counts["answered"] += 1
        if row.claim_state == "held":
            kept = (
                body
                if body is not None and len(body) <= STORED_RESPONSE_LIMIT_BYTES
                else None
            )
            self._record(row, Finish(*self._claim_key(row), status, content_type, kept))
        self._end_attempt(row, attempt_id, now_s)
        self._forget(row)
        self.pump(row.info.service, now_s)

    def shed(self, attempt_id, now_s):
        """Take the word of a backend server that it began no work."""
        row = self._by_attempt.get(attempt_id)
        if row is not None:
            row.attempts[attempt_id].wrote = False
            self._fail(row, attempt_id, now_s, "the backend server shed it")

    def failed(self, attempt_id, now_s, reason):
        """Take note of a connection that failed before the answer was whole."""
        row = self._by_attempt.get(attempt_id)
        if row is None:
            return
        backend_id = row.attempts[attempt_id].slot.backend_id
        self.ctx.health.fail(backend_id, row.rules, now_s)
        self._fail(row, attempt_id, now_s, reason)

    # --- from control -----------------------------------------------------

    def claim_answered(self, request_id, outcome: Outcome, now_s):
        """Take control's answer to a claim."""
        row = self.rows.get(request_id)
        if row is None or row.claim_state != "asked":
            return
        if outcome.code == "ok":
            row.claim_state = "held"
            self.pump(row.info.service, now_s)
            return
        if outcome.code == "not-leader":
            return
        self._end_by_outcome(row, outcome, now_s)

    def abort_answered(self, request_id, outcome: Outcome, now_s):
        """Take control's answer to an abort: only now it is surely not run."""
        row = self.rows.get(request_id)
        if row is None or row.claim_state != "aborting":
            return
        if outcome.code == "ok":
            self._end(row, 503, NOT_RUN, "not run; send it under a new key", 1)
        elif outcome.code != "not-leader":
            self._end(row, 409, UNKNOWN, f"another request has the key: {outcome.code}")

    # --- time -------------------------------------------------------------

    def tick(self, now_s):
        """End requests whose time is over, hedge slow ones, fill free slots."""
        for row in list(self.rows.values()):
            if now_s >= row.deadline_s:
                self._time_out(row, now_s)
            else:
                self._hedge(row, now_s)
                self._resend(row, now_s)
        for service in self.ctx.waiting:
            self.pump(service, now_s)

    def pump(self, service, now_s):
        """Give free slots to waiting requests, urgent and early ones first."""
        waiting = self.ctx.waiting.get(service)
        if not waiting:
            self.loans.offer(service, now_s)
            return
        if not self.ctx.may_serve(now_s):
            return
        lacking = {}
        full = set()
        served = self.placement.served_regions(service, now_s)
        for row in in_order(waiting.values(), now_s):
            if not row.may_dispatch or now_s >= row.deadline_s:
                continue
            wanted = self.placement.wanted_region(row, served, now_s)
            if not self._place(row, wanted, full, now_s):
                lacking[wanted] = lacking.get(wanted, 0) + 1
        for region, count in sorted(lacking.items()):
            self.loans.ask(service, region, count, now_s)
        self.loans.offer(service, now_s)

    # --- placing ----------------------------------------------------------

    def _place(self, row, wanted, full, now_s):
        """Return True when a waiting request got a slot.

        Args:
            row: The request.
            wanted: Region that it may go to besides its own.
            full: Regions in which an earlier request found no slot at all.
            now_s: Time.
        """
        for region in dict.fromkeys((row.region, wanted)):
            if region in full:
                continue
            holding = self.placement.best_slot(row, region, now_s)
            if holding is None:
                if not row.tried:
                    full.add(region)
            elif self.placement.cross(row, region, now_s):
                self._dispatch(row, holding, now_s)
                return True
        return False

    def _dispatch(self, row, holding, now_s, *, is_hedge=False):
        attempt = Attempt(next(self._attempt_ids), holding.slot, now_s, is_hedge)
        self.ctx.slots.take(holding, now_s)
        row.attempts[attempt.attempt_id] = attempt
        row.tries += 1
        self._by_attempt[attempt.attempt_id] = row
        self._stop_waiting(row)
        backend = self.ctx.backends[holding.slot.backend_id]
        self.ctx.counts["dispatched"] += 1
        self.ctx.act(
            Dispatch(row.request_id, attempt.attempt_id, backend, row.deadline_s)
        )

    def _hedge(self, row, now_s):
        """Start a second try of an idempotent request that is slow."""
        after_s = row.rules.hedge_after_ms / 1_000
        running = list(row.attempts.values())
        if not after_s or not row.rules.idempotent or len(running) != 1:
            return
        first = running[0]
        if first.won or first.is_hedge or now_s - first.started_s < after_s:
            return
        row.tried.add(first.slot.backend_id)
        holding = self.placement.best_slot(row, self.ctx.region, now_s)
        if holding is not None and self.ctx.budget(row.info.service).spend():
            self.ctx.counts["hedges"] += 1
            self._dispatch(row, holding, now_s, is_hedge=True)

    # --- ending -----------------------------------------------------------

    def _fail(self, row, attempt_id, now_s, reason):
        """Try again where that is safe, else tell the caller."""
        attempt = row.attempts[attempt_id]
        row.tried.add(attempt.slot.backend_id)
        self._end_attempt(row, attempt_id, now_s)
        service = row.info.service
        if attempt.won:
            # The adapter has cut the caller's answer visibly.
            if row.claim_state == "held":
                self._record(row, Finish(*self._claim_key(row), unknown=True))
            self._forget(row)
        elif row.attempts:
            return
        elif attempt.wrote and not row.rules.idempotent:
            self._record(row, Finish(*self._claim_key(row), unknown=True))
            self._end(row, 502, UNKNOWN, reason)
        elif row.tries <= row.rules.retries and self.ctx.budget(service).spend():
            self.ctx.counts["retries"] += 1
            self.ctx.waiting[service][row.request_id] = row
        elif not row.rules.idempotent:
            self._begin_abort(row, now_s)
        else:
            outcome = UNKNOWN if attempt.wrote else NOT_RUN
            self._end(row, 502, outcome, reason)
        self.pump(service, now_s)

    def _time_out(self, row, now_s):
        """End a request whose deadline has passed."""
        if row.claim_state == "aborting":
            if now_s >= row.deadline_s + ABORT_PATIENCE_S:
                self._end(row, 503, UNKNOWN, "control did not confirm in time")
            else:
                self._resend(row, now_s)
            return
        attempts = list(row.attempts.values())
        wrote = any(attempt.wrote for attempt in attempts)
        won = any(attempt.won for attempt in attempts)
        self._cancel_all(row, now_s)
        self.ctx.counts["timeouts"] += 1
        if row.rules.idempotent:
            outcome = UNKNOWN if wrote else NOT_RUN
            status = 504 if wrote else 503
            self._end(row, status, outcome, "the deadline has passed", 1, silent=won)
        elif wrote:
            self._record(row, Finish(*self._claim_key(row), unknown=True))
            self._end(row, 504, UNKNOWN, "the deadline has passed", silent=won)
        else:
            self._begin_abort(row, now_s)

    def _end_by_outcome(self, row, outcome, now_s):
        """Answer a request whose key was used before."""
        if outcome.code == "replay" and outcome.answer is not None:
            self.ctx.counts["replays"] += 1
            self.ctx.act(
                Replay(
                    row.request_id,
                    outcome.status,
                    outcome.content_type,
                    outcome.answer,
                )
            )
            self._forget(row)
        elif outcome.code == "replay":
            self._end(row, 409, "ran", "it ran; its answer was too large to keep")
        elif outcome.code == "mismatch":
            self._end(row, 422, NOT_RUN, outcome.detail)
        elif outcome.code == "running":
            self._end(row, 409, UNKNOWN, "a request with this key is running", 1)
        elif outcome.code == "aborted":
            self._end(row, 503, NOT_RUN, outcome.detail, 1)
        else:
            self._end(row, 409, UNKNOWN, f"an earlier request: {outcome.code}")

    def _end(self, row, status, outcome, detail, retry_after_s=None, *, silent=False):
        if not silent:
            self.ctx.counts[f"problem_{outcome}"] += 1
            problem = Problem(row.request_id, status, outcome, detail, retry_after_s)
            self.ctx.act(problem)
        self._forget(row)

    def _refuse(self, request_id, status, detail, retry_after_s=None):
        self.ctx.counts["refused"] += 1
        self.ctx.act(Problem(request_id, status, NOT_RUN, detail, retry_after_s))

    def _stop_waiting(self, row):
        self.ctx.waiting[row.info.service].pop(row.request_id, None)

    def _forget(self, row):
        self._stop_waiting(row)
        self.rows.pop(row.request_id, None)

    # --- tries ------------------------------------------------------------

    def _cancel_all(self, row, now_s):
        for attempt_id in list(row.attempts):
            self._cancel(row, attempt_id, now_s)

    def _cancel(self, row, attempt_id, now_s):
        attempt = row.attempts[attempt_id]
        self.ctx.act(Cancel(attempt_id))
        self._end_attempt(row, attempt_id, now_s, is_cancelled=attempt.wrote)

    def _end_attempt(self, row, attempt_id, now_s, *, is_cancelled=False):
        attempt = row.attempts.pop(attempt_id)
        self._by_attempt.pop(attempt_id, None)
        holding = self.ctx.slots.holdings.get(attempt.slot)
        if holding is None:
            return
        over = holding.is_lost or now_s >= holding.until_s
        if is_cancelled:
            # The next request must not overtake the news of the cancelling.
            link = self.ctx.settings.link(self.ctx.region, holding.region)
            near = holding.region == self.ctx.region
            wait_s = NEAR_CANCEL_S if near else 2 * link.delay_ms / 1_000
            self.ctx.slots.cool(holding, now_s + wait_s)
        elif holding.lender and over:
            self.loans.give_back(holding)
        else:
            self.ctx.slots.release(attempt.slot, now_s)

    # --- claims -----------------------------------------------------------

    def _new_claim_id(self, row):
        return f"{self.ctx.entry_id}/{self._incarnation}/{row.request_id}"

    def _claim_key(self, row):
        return row.info.service, row.info.key, row.claim_id

    def _send_claim(self, row, now_s):
        row.claim_state, row.asked_s = "asked", now_s
        cmd = Claim(
            row.info.service,
            row.info.key,
            row.info.digest,
            row.claim_id,
            self.ctx.entry_id,
            row.rules.retention_s * 1_000,
        )
        request_id = row.request_id
        self.commands.send(cmd, lambda o, t: self.claim_answered(request_id, o, t))

    def _begin_abort(self, row, now_s):
        """Ask control to record that the claim will never run."""
        self._stop_waiting(row)
        row.claim_state, row.asked_s = "aborting", now_s
        request_id = row.request_id
        self.commands.send(
            Abort(*self._claim_key(row), row.rules.retention_s * 1_000),
            lambda o, t: self.abort_answered(request_id, o, t),
        )

    def _record(self, row, cmd):
        """Record how a claim ended, resending until control has it."""
        row.claim_state = "none"
        self.commands.send_until_done(cmd)

    def _resend(self, row, now_s):
        """Send a claim or abort again that had no answer."""
        if row.claim_state not in ("asked", "aborting"):
            return
        if now_s - row.asked_s < self.ctx.cfg.claim_retry_s:
            return
        if row.claim_state == "asked":
            self._send_claim(row, now_s)
        else:
            self._begin_abort(row, now_s)
