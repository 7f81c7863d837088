"""What backend servers report about themselves in the heads of their responses."""

__all__ = ["BackendReports"]


class BackendReports:
    """Base class of a system that forwards requests.

    A subclass must have the attributes of :class:`ForwardSystem` that are used here.
    """

    def _row_at_backend(self, attempt_id):
        """Return the request of an attempt that did not go through an instance."""
        row = self.queue.rows_by_attempt.get(attempt_id)
        if row is None or row.attempt is None or row.attempt.is_hop:
            return None
        return row

    def on_load_report(self, attempt_id, running, waiting, now_s, pace=None):
        """Record the load that a backend server reported, and its pace if it did."""
        row = self._row_at_backend(attempt_id)
        if row is None:
            return
        row.attempt.member.update_load(running, waiting, now_s, pace)
        if pace is not None:
            row.attempt.pace = pace
            self.ctx.load_exchange.record(row.attempt.member)
            self.ctx.fleet.near_domains.is_enabled = True

    def on_arriving(self, attempt_id, now_s):
        """Handle a response that arrives, but is not relayed before it is complete."""
        row = self.queue.rows_by_attempt.get(attempt_id)
        if row is not None and not row.attempt.is_arriving:
            row.attempt.is_arriving = True
            self._record_response(row, now_s)

    def on_leaving(self, attempt_id):
        """Stop using a backend server that says in a response that it is leaving.

        Returns:
            Its :class:`BackendRow`, or None if the attempt has ended.
        """
        row = self._row_at_backend(attempt_id)
        if row is None:
            return None
        backend = row.attempt.member.row
        self._mark_leaving(backend, "")
        return backend

    def on_leaving_behind_hop(self, attempt_id, backend_id, born_ms):
        """Do the same for one whose response came through another instance."""
        row = self.queue.rows_by_attempt.get(attempt_id)
        member = self.ctx.fleet.members.get(backend_id)
        if row is None or not row.attempt.is_hop or member is None:
            return
        if member.row.born_ms == born_ms:
            self._mark_leaving(member.row, row.attempt.member.row.backend_id)

    def _mark_leaving(self, backend, through):
        if self.ctx.fleet.mark_leaving(backend):
            self.ctx.record_event(
                "backend server says it is leaving",
                backend.backend_id,
                service=backend.service,
                through=through,
            )

    def on_connected(self, address, elapsed_s):
        """Record how long it took to open a connection to a backend server."""
        self.ctx.fleet.near_domains.record_connect(address, elapsed_s)

    def on_rate_limit(self, attempt_id, per_s, now_s):
        """Record the rate limit that a response named, None if it named none."""
        row = self._row_at_backend(attempt_id)
        if row is not None:
            self.ctx.rate_limits.record(row.attempt.member.row, per_s, now_s)

    def on_invalid_rate_limit(self, attempt_id, detail):
        """Log a rate limit that can't be read."""
        row = self._row_at_backend(attempt_id)
        if row is not None:
            backend_id = row.attempt.member.row.backend_id
            self.ctx.record_event("invalid rate limit", backend_id, detail=detail)
