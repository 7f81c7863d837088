"""Registry of backend servers that ignores outdated announcements."""

import attrs
from snipebay_model.view import BackendRow

__all__ = ["Registry", "Tombstone"]

# Far more withdrawals than can happen while an announcement is delayed.
MAX_TOMBSTONES = 4_096


@attrs.frozen
class Tombstone:
    """A withdrawn incarnation, whose delayed announcements are ignored.

    Attributes:
        backend_id: Id of the backend server.
        born_ms: Start time of the withdrawn incarnation.
    """

    backend_id: str
    born_ms: int


@attrs.define
class Registry:
    """Table of backend servers.

    Attributes:
        rows: Row by id.
        tombstones: Newest withdrawn incarnation by id.
        withdrawals: Log index of the newest withdrawal by id. Unlike a tombstone it
            also exists for a withdrawal that found no row to remove.
    """

    rows: dict = attrs.Factory(dict)
    tombstones: dict = attrs.Factory(dict)
    withdrawals: dict = attrs.Factory(dict)

    def load(self, rows, tombstones, withdrawals):
        """Replace the contents with those of a snapshot."""
        self.withdrawals = dict(withdrawals)
        self.rows.clear()
        self.rows.update({row.backend_id: row for row in rows})
        self.tombstones = {tombstone.backend_id: tombstone for tombstone in tombstones}

    def stale_reason(self, row: BackendRow):
        """Return why an announcement is older than what is known, empty if it isn't.

        Announcements are ordered by the start time of the incarnation, then by
        sequence. Rows from the interface of snipebay itself have neither, so each
        of them counts as new.
        """
        tombstone = self.tombstones.get(row.backend_id)
        if tombstone is not None and row.born_ms <= tombstone.born_ms:
            return f"the incarnation that started at {tombstone.born_ms} was withdrawn"
        known = self.rows.get(row.backend_id)
        if known is not None and _announcement_order(row) < _announcement_order(known):
            return f"a newer one was applied, sequence {known.sequence}"
        later = (
            other.backend_id
            for other in self.rows.values()
            if row.born_ms
            and other.born_ms > row.born_ms
            and other.address == row.address
            and other.backend_id != row.backend_id
        )
        return next((f"{other!r} is newer at its address" for other in later), "")

    def is_superseded(self, row: BackendRow):
        """Return True for an announcement that a later start time of its id rules out.

        If it is known to be newer, its sender has started after a clock went back, or
        announces itself after its withdrawal.
        """
        tombstone = self.tombstones.get(row.backend_id)
        known = self.rows.get(row.backend_id)
        is_withdrawn = tombstone is not None and row.born_ms <= tombstone.born_ms
        return is_withdrawn or (known is not None and row.born_ms < known.born_ms)

    def superseded_by(self, row: BackendRow):
        """Return ids of older incarnations at the same address as a new row."""
        if not row.born_ms:
            return []
        return sorted(
            other.backend_id
            for other in self.rows.values()
            if other.address == row.address
            and other.backend_id != row.backend_id
            and other.born_ms < row.born_ms
        )

    def remove(self, backend_id, *, is_withdrawn):
        """Remove a row and return whether there was one.

        Args:
            backend_id: Id of the row.
            is_withdrawn: True if delayed announcements must not register it again.
        """
        row = self.rows.pop(backend_id, None)
        if row is not None and is_withdrawn and row.born_ms:
            self.tombstones[backend_id] = Tombstone(backend_id, row.born_ms)
            _drop_oldest(self.tombstones)
        return row is not None

    def record_withdrawal(self, backend_id, index):
        """Record the log index of a withdrawal that was proposed or applied."""
        newest = max(index, self.withdrawals.pop(backend_id, 0))
        self.withdrawals[backend_id] = newest
        _drop_oldest(self.withdrawals)

    def withdrawal_index(self, backend_id):
        """Return the log index of the newest withdrawal of an id, 0 if unknown."""
        return self.withdrawals.get(backend_id, 0)

    def is_outdated(self, backend_id, base_index):
        """Return True if an announcement may be older than a withdrawal.

        Args:
            backend_id: Id of a backend server that is not registered.
            base_index: Log index that was applied when the sender connected, -1 if
                that is unknown.
        """
        return 0 <= base_index < self.withdrawal_index(backend_id)


def _drop_oldest(table):
    if len(table) > MAX_TOMBSTONES:
        del table[next(iter(table))]


def _announcement_order(row):
    """Return the sort key of the announcements of one id."""
    return row.born_ms, row.sequence
