"""Recognizes withdrawals of an earlier incarnation of a backend server.

The load: backend servers that start again under their id, while a withdrawal of the
incarnation before is still on its way.
"""

import attrs

__all__ = ["RegistrationGuard"]

# The table is pruned when it has this many rows over twice the number of ids.
MIN_PRUNED_ROWS = 64


@attrs.frozen
class _Registration:
    """An incarnation in the log.

    Attributes:
        index: Log index at which it was registered; of one that the state had at the
            start, the index of that state.
        born_ms: Start time of the incarnation, 0 if unknown.
    """

    index: int
    born_ms: int


class RegistrationGuard:
    """Remembers at which log index the incarnation of each id was registered.

    A withdrawal names an id, which a later incarnation may have taken over. It belongs
    to an earlier one if its connection announced another start time, or was made
    before the present incarnation was registered.

    Args:
        first_index: Index of the state at the start.
        rows: Rows of the backend servers in that state.
    """

    def __init__(self, first_index, rows):
        self._applied = {
            row.backend_id: _Registration(first_index, row.born_ms) for row in rows
        }
        self._proposed = {}

    def start_term(self):
        """Forget what was proposed in an earlier term and may never be committed."""
        self._proposed.clear()

    def record_proposed(self, row, index):
        """Record an announcement that this leader has appended to the log."""
        pending = self._proposed.get(row.backend_id)
        # A delayed announcement of an earlier incarnation does not replace a later one.
        born_ms = max(row.born_ms, pending.born_ms if pending else 0)
        self._proposed[row.backend_id] = _Registration(index, born_ms)

    def record_applied(self, row, index, registered):
        """Record an announcement that was applied.

        Args:
            row: The announced row.
            index: Log index of the announcement.
            registered: Row of its id afterwards, or None.
        """
        backend_id = row.backend_id
        proposed = self._proposed.get(backend_id)
        if proposed is not None and proposed.index <= index:
            del self._proposed[backend_id]
        known = self._applied.get(backend_id)
        if registered is not None and (
            known is None or known.born_ms != registered.born_ms
        ):
            self._applied[backend_id] = _Registration(index, registered.born_ms)

    def record_removed(self, backend_id):
        """Record that no incarnation of an id is registered any more."""
        self._applied.pop(backend_id, None)

    def prune(self, backend_ids):
        """Forget registrations that ended without a removal, once they are many.

        A backend server that takes over the address of an earlier one ends its
        registration.

        Args:
            backend_ids: Ids that are registered.
        """
        if len(self._applied) > 2 * len(backend_ids) + MIN_PRUNED_ROWS:
            known = self._applied.keys() & backend_ids
            self._applied = {i: self._applied[i] for i in known}

    def has_pending_announcement(self, backend_id):
        """Return True while an announcement of this leader is not applied."""
        return backend_id in self._proposed

    def registered_index(self, backend_id):
        """Return the log index of the registration of an id, 0 if there is none."""
        known = self._applied.get(backend_id)
        return known.index if known is not None else 0

    def is_outdated(self, backend_id, born_ms, base_index):
        """Return True if a withdrawal belongs to an earlier incarnation.

        Args:
            backend_id: Id that is withdrawn.
            born_ms: Start time that its connection announced, 0 if unknown.
            base_index: Log index that was applied when the caller connected, -1 if
                that is unknown.
        """
        known = self._applied.get(backend_id)
        proposed = self._proposed.get(backend_id)
        is_new = proposed and (known is None or proposed.born_ms != known.born_ms)
        newest = proposed if is_new else known
        if newest is None:
            return False
        if born_ms and newest.born_ms:
            return born_ms != newest.born_ms
        return 0 <= base_index < newest.index
