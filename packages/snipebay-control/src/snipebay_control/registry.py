"""Backend servers by id, with the order of their incarnations."""

import attrs
from snipebay_model.view import BackendRow

__all__ = ["Registry", "Tombstone"]

# Withdrawn incarnations remembered, far more than announcements can be late.
TOMBSTONES_KEPT = 4_096


@attrs.frozen
class Tombstone:
    """An incarnation that withdrew itself, whose late announcements don't count."""

    backend_id: str
    born_ms: int


@attrs.define
class Registry:
    """Table of backend servers.

    Attributes:
        rows: Row by id.
        tombstones: Newest withdrawn incarnation by id.
    """

    rows: dict = attrs.Factory(dict)
    tombstones: dict = attrs.Factory(dict)

    def load(self, rows, tombstones):
        """Replace the content by what a snapshot held."""
        self.rows.clear()
        self.rows.update({row.backend_id: row for row in rows})
        self.tombstones = {stone.backend_id: stone for stone in tombstones}

    def is_stale(self, row: BackendRow):
        """Return True for an announcement that a newer one has overtaken.

        Announcements are ordered by the start of the incarnation, then by their
        sequence. The product's own interface tells neither, and takes each as new.
        """
        stone = self.tombstones.get(row.backend_id)
        if stone is not None and row.born_ms <= stone.born_ms:
            return True
        known = self.rows.get(row.backend_id)
        if known is not None and _age(row) < _age(known):
            return True
        return bool(row.born_ms) and any(
            other.born_ms > row.born_ms
            for other in self.rows.values()
            if other.address == row.address and other.backend_id != row.backend_id
        )

    def replaced_by(self, row: BackendRow):
        """Return the ids of older incarnations whose address a row takes over."""
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
        """Return True after taking a row out.

        Args:
            backend_id: Id of the row.
            is_withdrawn: True when it must not come back by a late announcement.
        """
        row = self.rows.pop(backend_id, None)
        if row is not None and is_withdrawn and row.born_ms:
            self.tombstones[backend_id] = Tombstone(backend_id, row.born_ms)
            if len(self.tombstones) > TOMBSTONES_KEPT:
                del self.tombstones[next(iter(self.tombstones))]
        return row is not None


def _age(row):
    """Return what orders the announcements of one id."""
    return row.born_ms, row.sequence
