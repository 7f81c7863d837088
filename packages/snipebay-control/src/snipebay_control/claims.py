"""Idempotency keys, each of which at most one claim may execute."""

import attrs
from snipebay_model.messages import Abort, Claim, Finish, Outcome

__all__ = ["ClaimRow", "ClaimTable"]

RUNNING = "running"
DONE = "done"
ABORTED = "aborted"
UNKNOWN = "unknown"


@attrs.frozen
class ClaimRow:
    """State of one idempotency key.

    Attributes:
        service: Service of the request.
        key: Idempotency key.
        claim_id: Id of the claim that the status refers to.
        claimer: Entry instance that made the claim.
        status: ``running``, ``done``, ``aborted``, or ``unknown`` if it is not
            known whether the request was executed.
        expires_ms: Cluster time at which the key is removed.
        digest: Digest of the request, empty if the key was aborted before any
            claim was granted.
        http_status: Status of the HTTP response.
        content_type: Content type of the response.
        answer: Body of the response, None if it was not stored.
    """

    service: str
    key: str
    claim_id: str
    claimer: str
    status: str
    expires_ms: int
    digest: str = ""
    http_status: int = 0
    content_type: str = ""
    answer: bytes | None = None


@attrs.define
class ClaimTable:
    """Claims by service and key, in insertion order."""

    rows: dict = attrs.Factory(dict)

    def claim(self, cmd: Claim, now_ms):
        """Grant a claim if the key is unused, and return the outcome."""
        row = self.rows.get((cmd.service, cmd.key))
        if row is not None:
            return self._repeat_outcome(row, cmd)
        self._put(
            ClaimRow(
                cmd.service,
                cmd.key,
                cmd.claim_id,
                cmd.claimer,
                RUNNING,
                now_ms + cmd.retention_ms,
                cmd.digest,
            )
        )
        return Outcome("ok")

    def finish(self, cmd: Finish):
        """Store the result of a claimed request."""
        row = self.rows.get((cmd.service, cmd.key))
        if row is None or row.claim_id != cmd.claim_id:
            return Outcome("missing", detail=f"no claim {cmd.claim_id!r}")
        if row.status != RUNNING:
            return Outcome("ok" if row.status == DONE else row.status)
        self._put(
            attrs.evolve(
                row,
                status=UNKNOWN if cmd.unknown else DONE,
                http_status=cmd.status,
                content_type=cmd.content_type,
                answer=cmd.answer,
            )
        )
        return Outcome("ok")

    def abort(self, cmd: Abort, now_ms):
        """Mark a key as aborted, so that its request is never executed.

        The key stays aborted, so that a duplicate of the request that is still in
        transit can't execute after the caller received "not run".
        """
        row = self.rows.get((cmd.service, cmd.key))
        if row is None:
            expires_ms = now_ms + cmd.retention_ms
            row = ClaimRow(cmd.service, cmd.key, cmd.claim_id, "", ABORTED, expires_ms)
        elif row.status == RUNNING and row.claim_id == cmd.claim_id:
            row = attrs.evolve(row, status=ABORTED)
        elif row.status != ABORTED:
            return Outcome(row.status, detail=f"claimed by {row.claimer!r}")
        self._put(row)
        return Outcome("ok")

    def expire(self, now_ms):
        """Remove keys past their retention time and return their number."""
        expired = [key for key, row in self.rows.items() if row.expires_ms <= now_ms]
        for key in expired:
            del self.rows[key]
        return len(expired)

    def _put(self, row):
        self.rows[row.service, row.key] = row

    @staticmethod
    def _repeat_outcome(row, cmd):
        """Return the outcome of a claim on a key that was used before."""
        if row.status == ABORTED:
            return Outcome("aborted", detail="the key was not run and never will be")
        if row.digest != cmd.digest:
            return Outcome("mismatch", detail=f"key {row.key!r} had another request")
        if row.claim_id == cmd.claim_id and row.status == RUNNING:
            return Outcome("ok")
        if row.status == DONE:
            return Outcome(
                "replay",
                status=row.http_status,
                content_type=row.content_type,
                answer=row.answer,
            )
        return Outcome(row.status, detail=f"claimed by {row.claimer!r}")
