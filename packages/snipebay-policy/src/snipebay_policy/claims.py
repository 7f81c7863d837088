"""Claims at control of requests that run at most once."""

from snipebay_model.messages import Abort, Claim, Outcome

from snipebay_policy.work import NOT_RUN, UNKNOWN, Replay

__all__ = ["ClaimSystem"]


class ClaimSystem:
    """Base class of a system that runs requests.

    A subclass must have the attributes and helpers of :class:`RequestSystem` that are
    used here.
    """

    # --- from control -----------------------------------------------------

    def on_claim_outcome(self, request_id, outcome: Outcome, now_s):
        """Process control's reply to a claim."""
        row = self.rows.get(request_id)
        if row is None or row.claim_state != "asked":
            return
        if outcome.code == "ok":
            row.claim_state = "held"
            self.dispatch_waiting(row.info.service, now_s)
            return
        if outcome.code == "not-leader":
            return
        self._end_by_claim_outcome(row, outcome, now_s)

    def on_abort_outcome(self, request_id, outcome: Outcome, now_s):
        """Process control's reply to an abort.

        Only a confirmed abort proves that the request has not run and never will.
        """
        row = self.rows.get(request_id)
        if row is None or row.claim_state != "aborting":
            return
        if outcome.code == "ok":
            self._fail_request(row, 503, NOT_RUN, "not run; send it under a new key", 1)
        elif outcome.code != "not-leader":
            self._fail_request(
                row, 409, UNKNOWN, f"another request has the key: {outcome.code}"
            )

    def _end_by_claim_outcome(self, row, outcome, now_s):
        """End a request whose claim control refused, as its key was used before."""
        if outcome.code == "replay" and outcome.answer is not None:
            self.ctx.counts["replays"] += 1
            self.ctx.queue_action(
                Replay(
                    row.request_id,
                    outcome.status,
                    outcome.content_type,
                    outcome.answer,
                )
            )
            self._remove(row)
        elif outcome.code == "replay":
            self._fail_request(
                row, 409, "ran", "it ran; its answer was too large to keep"
            )
        elif outcome.code == "mismatch":
            self._fail_request(row, 422, NOT_RUN, outcome.detail)
        elif outcome.code == "running":
            self._fail_request(
                row, 409, UNKNOWN, "a request with this key is running", 1
            )
        elif outcome.code == "aborted":
            self._fail_request(row, 503, NOT_RUN, outcome.detail, 1)
        else:
            self._fail_request(row, 409, UNKNOWN, f"an earlier request: {outcome.code}")

    # --- to control -------------------------------------------------------

    def _new_claim_id(self, row):
        return f"{self.ctx.entry_id}/{self._incarnation}/{row.request_id}"

    def _claim_key(self, row):
        return row.info.service, row.info.key, row.claim_id

    def _send_claim(self, row, now_s):
        row.claim_state, row.claim_sent_s = "asked", now_s
        cmd = Claim(
            row.info.service,
            row.info.key,
            row.info.digest,
            row.claim_id,
            self.ctx.entry_id,
            row.rules.retention_s * 1_000,
        )
        request_id = row.request_id
        self.commands.send(cmd, lambda o, t: self.on_claim_outcome(request_id, o, t))

    def _begin_abort(self, row, now_s):
        """Ask control to record that the request under this claim will never run."""
        self._dequeue(row)
        row.claim_state, row.claim_sent_s = "aborting", now_s
        request_id = row.request_id
        self.commands.send(
            Abort(*self._claim_key(row), row.rules.retention_s * 1_000),
            lambda o, t: self.on_abort_outcome(request_id, o, t),
        )

    def _record_claim_end(self, row, cmd):
        """Record at control how a claim ended, retrying until it is confirmed."""
        row.claim_state = "none"
        self.commands.send_until_confirmed(cmd)

    def _retry_claim_command(self, row, now_s):
        """Retry a claim or abort that control has not replied to."""
        if row.claim_state not in ("asked", "aborting"):
            return
        if now_s - row.claim_sent_s < self.ctx.cfg.claim_retry_s:
            return
        if row.claim_state == "asked":
            self._send_claim(row, now_s)
        else:
            self._begin_abort(row, now_s)
