"""What backend servers say of themselves to an instance with a settings tree."""

__all__ = ["RequestReports"]


class RequestReports:
    """Base class of a system that runs requests.

    A subclass must have the attributes of :class:`RequestSystem` that are used here.
    """

    def on_rate_limit(self, attempt_id, per_s, now_s):
        """Record the rate limit that a response named, None if it named none."""
        row = self._rows_by_attempt.get(attempt_id)
        backend = self.ctx.backends.get(self._backend_id(row, attempt_id))
        if backend is not None:
            self.ctx.slot_limits.table.record(backend, per_s, now_s)

    def on_leaving(self, attempt_id):
        """Stop using a backend server that says in a response that it is leaving.

        Its next announcement, or a newer row in the view, decides again.
        """
        row = self._rows_by_attempt.get(attempt_id)
        backend_id = self._backend_id(row, attempt_id)
        if self.ctx.is_open(backend_id):
            self.ctx.leaving[backend_id] = self.ctx.view.revision
            self.ctx.record_event("backend server says it is leaving", backend_id)

    def on_invalid_rate_limit(self, attempt_id, detail):
        """Log a rate limit that can't be read."""
        row = self._rows_by_attempt.get(attempt_id)
        if row is not None:
            backend_id = self._backend_id(row, attempt_id)
            self.ctx.record_event("invalid rate limit", backend_id, detail=detail)

    def _backend_id(self, row, attempt_id):
        return row.attempts[attempt_id].slot.backend_id if row is not None else ""
