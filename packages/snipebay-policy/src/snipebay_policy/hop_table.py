"""Entry instances through which requests go that can't reach a backend server here."""

from snipebay_model.view import BackendRow

from snipebay_policy.fleet_rows import Member
from snipebay_policy.routes import Split

__all__ = ["HopTable"]


class HopTable:
    """Other entry instances that reach backend servers.

    Args:
        own: :class:`EntryRow` of this instance.

    Attributes:
        isolated: Ids of the instances that reported that they reach none.
    """

    def __init__(self, own):
        self._own = own
        self._rows = ()
        self._members = {}
        self._splits = {}
        self.isolated = frozenset()

    def apply_view(self, view):
        """Replace the instances by those of a view."""
        self._rows = tuple(
            row
            for row in view.entries
            if row.entry_id != self._own.entry_id and not row.leaving
        )
        members = {row.entry_id: self._member(row) for row in self._rows}
        self._members = members
        self._splits.clear()

    def update_isolated(self, ids):
        """Replace the ids of the instances that reach no backend server."""
        if self.isolated != frozenset(ids):
            self.isolated = frozenset(ids)
            self._splits.clear()

    def choose(self, allowed_regions, exclude):
        """Return the :class:`Member` of an instance to send a request through, or None.

        The nearest ones are used in turn: those of the own failure domain, else of
        the own region, else of others.

        Args:
            allowed_regions: Regions that may handle the request, empty for all; the
                own region is always allowed, the request's body is there already.
            exclude: Ids of instances not to use.
        """
        rows = [
            row
            for row in self._rows
            if row.entry_id not in self.isolated
            and row.entry_id not in exclude
            and self._may_take(row, allowed_regions)
        ]
        if not rows:
            return None
        own = self._own
        nearest = min(_distance(row, own) for row in rows)
        names = tuple(row.entry_id for row in rows if _distance(row, own) == nearest)
        split = self._splits.get(names)
        if split is None:
            split = self._splits[names] = Split(
                tuple((n, 1.0) for n in names), self._own.entry_id
            )
        return self._members[split.next()]

    def _may_take(self, row, allowed_regions):
        return (
            not allowed_regions
            or row.region == self._own.region
            or row.region in allowed_regions
        )

    def _member(self, row):
        known = self._members.get(row.entry_id)
        if known is not None and known.row.address == row.address:
            return known
        return Member(
            BackendRow(row.entry_id, "", row.address, row.region, row.domain, 1)
        )


def _distance(row, own):
    """Return 0 for an instance of the same domain, 1 of the same region, else 2.

    An instance of the own domain is likely to have lost the same links, but it
    reported none.
    """
    return (row.domain != own.domain) + (row.region != own.region)
