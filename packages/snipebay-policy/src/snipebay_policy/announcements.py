"""Announcements that backend servers send to this entry instance."""

import attrs
from snipebay_model.messages import WITHDRAWN, PutBackend, RemoveBackend
from snipebay_model.view import BackendRow

__all__ = ["Announced", "AnnouncementSystem"]

# Minimum time between two commands to control for the same backend server.
MIN_PUT_INTERVAL_S = 0.5


@attrs.frozen
class Announced:
    """Response to an announcement.

    Attributes:
        state: ``joining``: not in the view yet; ``serving``; ``draining``: receives
            no new requests; ``drained``: has no requests left; ``gone``: withdrawn.
        lease_s: Time within which the backend server must announce itself again.
        revision: View revision in force at this instance.
    """

    state: str
    lease_s: float
    revision: int


class AnnouncementSystem:
    """Forwards announcements to control and collects lease renewals for it.

    Args:
        ctx: Shared state of this entry instance.
        commands: Sends commands to control.
    """

    def __init__(self, ctx, commands):
        self.ctx = ctx
        self.commands = commands
        self.drained = frozenset()
        self._renewed = set()
        self._put_sent_s = {}

    def announce(self, row: BackendRow, now_s):
        """Process an announcement and return the response to it.

        Raises:
            ValueError: If the service or failure domain is unknown, or the failure
                domain is not in the given region.
        """
        self._validate(row)
        self.commands.now_s = now_s
        known = self.ctx.backends.get(row.backend_id)
        if row.leaving:
            self._mark_leaving(row.backend_id)
        else:
            self.ctx.leaving.pop(row.backend_id, None)
        is_unchanged = known is not None and row == attrs.evolve(
            known, held=False, since_revision=0
        )
        if is_unchanged:
            self._renewed.add(row.backend_id)
        else:
            self._put(row, now_s)
        return Announced(
            self._state(row, known),
            self.ctx.rules(row.service).backend_lease_s,
            self.ctx.view.revision,
        )

    def withdraw(self, backend_id, now_s):
        """Remove a backend server that shuts down, and return the response to it."""
        self.commands.now_s = now_s
        self._mark_leaving(backend_id)
        if backend_id in self.ctx.backends:
            self.commands.send_until_confirmed(RemoveBackend(backend_id, WITHDRAWN))
        return Announced("gone", 0.0, self.ctx.view.revision)

    def pop_renewed(self):
        """Return and clear the ids of backend servers that renewed their lease."""
        renewed, self._renewed = tuple(sorted(self._renewed)), set()
        return renewed

    def apply_heartbeat(self, heartbeat):
        """Mark the draining backend servers that a peer reports.

        A report older than the backend server's row in the local view is ignored.
        """
        for backend_id in heartbeat.leaving:
            row = self.ctx.backends.get(backend_id)
            if row is not None and row.since_revision <= heartbeat.revision:
                self._mark_leaving(backend_id)

    def apply_view(self, view):
        """Clear the marks that a newer row in the view supersedes."""
        rows = {row.backend_id: row for row in view.backends}
        for backend_id, revision in list(self.ctx.leaving.items()):
            row = rows.get(backend_id)
            if row is None or row.since_revision > revision:
                del self.ctx.leaving[backend_id]
        self._put_sent_s = {i: s for i, s in self._put_sent_s.items() if i in rows}

    def _mark_leaving(self, backend_id):
        """Stop sending new requests to a backend server."""
        self.ctx.leaving[backend_id] = self.ctx.view.revision

    def _put(self, row, now_s):
        last_s = self._put_sent_s.get(row.backend_id, float("-inf"))
        if now_s - last_s >= MIN_PUT_INTERVAL_S:
            self._put_sent_s[row.backend_id] = now_s
            self.commands.send(PutBackend(row), lambda outcome, at_s: None)

    def _state(self, row, known):
        if known is None:
            return "joining"
        if row.backend_id in self.drained and not known.is_open:
            return "drained"
        if row.leaving or not known.is_open:
            return "draining"
        return "serving"

    def _validate(self, row):
        settings = self.ctx.settings
        if row.service not in settings.services:
            raise ValueError(f"unknown service {row.service!r}")
        region = settings.domains.get(row.domain)
        if region is None:
            raise ValueError(f"unknown failure domain {row.domain!r}")
        if region != row.region:
            raise ValueError(
                f"failure domain {row.domain!r} stands in {region!r}, "
                f"not in {row.region!r}"
            )
