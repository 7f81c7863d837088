"""Backend servers that announce themselves at this entry instance."""

import attrs
from snipebay_model.messages import WITHDRAWN, PutBackend, RemoveBackend
from snipebay_model.view import BackendRow

__all__ = ["Announced", "AnnouncementSystem"]

PUT_AGAIN_S = 0.5


@attrs.frozen
class Announced:
    """Answer to an announcement.

    Attributes:
        state: ``joining``, ``serving``, ``draining``, ``drained`` or ``gone``.
        lease_s: Time after which to have announced again.
        revision: View revision in force here.
    """

    state: str
    lease_s: float
    revision: int


class AnnouncementSystem:
    """Passes announcements on to control and renews their leases there.

    Args:
        ctx: Tables of this entry instance.
        commands: Sends commands to control.
    """

    def __init__(self, ctx, commands):
        self.ctx = ctx
        self.commands = commands
        self.drained = frozenset()
        self._seen = set()
        self._put_at_s = {}

    def announce(self, row: BackendRow, now_s):
        """Take in an announcement and return its answer.

        Raises:
            ValueError: If the service or the place is unknown.
        """
        self._check(row)
        self.commands.now_s = now_s
        known = self.ctx.backends.get(row.backend_id)
        if row.leaving:
            self._mark(row.backend_id)
        else:
            self.ctx.leaving.pop(row.backend_id, None)
        same = known is not None and row == attrs.evolve(
            known, held=False, since_revision=0
        )
        if same:
            self._seen.add(row.backend_id)
        else:
            self._put(row, now_s)
        return Announced(
            self._state(row, known),
            self.ctx.rules(row.service).backend_lease_s,
            self.ctx.view.revision,
        )

    def withdraw(self, backend_id, now_s):
        """Take a backend server out that has ended its work, and answer."""
        self.commands.now_s = now_s
        self._mark(backend_id)
        if backend_id in self.ctx.backends:
            self.commands.send_until_done(RemoveBackend(backend_id, WITHDRAWN))
        return Announced("gone", 0.0, self.ctx.view.revision)

    def take_seen(self):
        """Return the backend servers that renewed since the last call."""
        seen, self._seen = tuple(sorted(self._seen)), set()
        return seen

    def hear(self, beat):
        """Take in what a peer was told, unless our view is newer on it."""
        for backend_id in beat.leaving:
            row = self.ctx.backends.get(backend_id)
            if row is not None and row.since_revision <= beat.revision:
                self._mark(backend_id)

    def adopt(self, view):
        """Forget marks that the view has overtaken."""
        rows = {row.backend_id: row for row in view.backends}
        for backend_id, revision in list(self.ctx.leaving.items()):
            row = rows.get(backend_id)
            if row is None or row.since_revision > revision:
                del self.ctx.leaving[backend_id]
        self._put_at_s = {i: s for i, s in self._put_at_s.items() if i in rows}

    def _mark(self, backend_id):
        """Give a backend server no new work from here on."""
        self.ctx.leaving[backend_id] = self.ctx.view.revision

    def _put(self, row, now_s):
        last_s = self._put_at_s.get(row.backend_id, float("-inf"))
        if now_s - last_s >= PUT_AGAIN_S:
            self._put_at_s[row.backend_id] = now_s
            self.commands.send(PutBackend(row), lambda outcome, at_s: None)

    def _state(self, row, known):
        if known is None:
            return "joining"
        if row.backend_id in self.drained and not known.is_open:
            return "drained"
        if row.leaving or not known.is_open:
            return "draining"
        return "serving"

    def _check(self, row):
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
