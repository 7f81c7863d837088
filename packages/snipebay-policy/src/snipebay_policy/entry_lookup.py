"""Look-ups of entry instances for callers."""

__all__ = ["EntryLookup"]


class EntryLookup:
    """Base class of an entry instance that callers ask for addresses.

    A subclass must have the attributes ``row``, ``view``, ``reach`` and ``hop_table``.
    """

    def lookup(self, domain, region):
        """Return the addresses of entry instances for a caller, nearest first.

        Args:
            domain: Failure domain of the caller.
            region: Region of the caller.
        """
        rows = [row for row in self.view.entries if not row.leaving]
        rows = [row for row in rows if not self._is_isolated(row)] or rows
        same_domain = [row for row in rows if row.domain == domain]
        same_region = [row for row in rows if row.region == region]
        # With a single instance, its callers would have no other address when it fails.
        found = same_domain if len(same_domain) > 1 else same_region or rows
        return [row.address for row in found]

    def _is_isolated(self, row):
        """Return True if an entry instance reaches no backend server."""
        if row.entry_id == self.row.entry_id:
            return self.reach.is_isolated
        return row.entry_id in self.hop_table.isolated
