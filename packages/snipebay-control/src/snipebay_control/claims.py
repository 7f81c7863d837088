"""Table of idempotency keys: at most one claim on each may run."""

import attrs
from snipebay_model.messages import Abort, Claim, Finish, Outcome

__all__ = ["ClaimRow", "ClaimTable"]

RUNNING = "running"
DONE = "done"
ABORTED = "aborted"
UNKNOWN = "unknown"


@attrs.frozen
class ClaimRow:
    """What is known of one idempotency key.

    Attributes:
        service: Service of the request.
        key: Idempotency key.
        claim_id: Claim that the status belongs to.
        claimer: Instance that made it.
        status: ``running``, ``done``, ``aborted`` or ``unknown``.
        expires_ms: Cluster time after which the key is forgotten.
        digest: Digest of the request, empty before any claim was granted.
        http_status: Status of the answer.
        content_type: Content type of the answer.
        answer: Body of the answer, None when it was not kept.
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
    """Claims by service and key, in the order in which they were made."""

    rows: dict = attrs.Factory(dict)

    def claim(self, cmd: Claim, now_ms):
        """Return the outcome of a claim, granting it if the key is free."""
        row = self.rows.get((cmd.service, cmd.key))
        if row is not None:
            return self._answer(row, cmd)
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
        """Record how a claimed request ended."""
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
        """Record that a key was not run, and keep it from ever being run.

        The key stays aborted, so that a second send of the same request, which
        may still be on its way, can't run after the caller was told "not run".
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

    def reap(self, now_ms):
        """Forget keys past their retention; return how many."""
        expired = [key for key, row in self.rows.items() if row.expires_ms <= now_ms]
        for key in expired:
            del self.rows[key]
        return len(expired)

    def _put(self, row):
        self.rows[row.service, row.key] = row

    @staticmethod
    def _answer(row, cmd):
        """Return the outcome of a claim on a key that is known."""
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
