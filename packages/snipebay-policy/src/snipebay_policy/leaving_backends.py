"""Remembers backend servers that said in a response that they are leaving.

The load: backend servers that leave while they can't reach control. They end soon
afterwards whether control knows of it or not, and requests at work there are lost.
"""

import attrs

__all__ = ["LeavingBackends"]

# Bounds the memory: the oldest mark is dropped for a new one.
MAX_MARKS = 4_096


@attrs.define
class LeavingBackends:
    """Incarnations that get no further requests from this instance.

    A mark holds for one incarnation, whatever control says of it later. It outlives the
    row in the view, since a delayed announcement may register the incarnation again.
    """

    _marks: dict = attrs.Factory(dict)

    def __len__(self):
        return len(self._marks)

    def __contains__(self, row):
        found = self._marks.get(row.backend_id)
        return found is not None and found == (row.born_ms, row.address)

    def add(self, row):
        """Mark an incarnation; return True unless it was marked before.

        Args:
            row: :class:`BackendRow` of the backend server.
        """
        if row in self:
            return False
        self._marks.pop(row.backend_id, None)
        self._marks[row.backend_id] = row.born_ms, row.address
        if len(self._marks) > MAX_MARKS:
            del self._marks[next(iter(self._marks))]
        return True

    def apply_view(self, rows):
        """Drop the marks of rows that are gone and have no start time.

        A later incarnation under such an id can't be told from the marked one.

        Args:
            rows: Rows of all backend servers in the view.
        """
        if not self._marks:
            return
        known = {row.backend_id for row in rows}
        self._marks = {
            backend_id: mark
            for backend_id, mark in self._marks.items()
            if mark[0] or backend_id in known
        }
