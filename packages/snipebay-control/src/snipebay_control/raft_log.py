"""In-memory copy of the replicated log behind a snapshot."""

import attrs

__all__ = ["HardState", "PersistentState", "RaftLog", "Snapshot"]


@attrs.frozen
class HardState:
    """Term and vote, which must be synced before any message tells of them."""

    term: int = 0
    voted_for: str = ""


@attrs.frozen
class Snapshot:
    """State of the applied log up to an index.

    Attributes:
        index: Last log index contained.
        term: Term of that index.
        members: Pairs of node and whether it votes, at that index.
        data: Encoded state.
    """

    index: int = 0
    term: int = 0
    members: tuple = ()
    data: bytes = b""


@attrs.frozen
class PersistentState:
    """What a control instance finds on its disk when it starts."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple = ()


@attrs.define
class RaftLog:
    """Log entries after a snapshot, addressed by index."""

    snapshot: Snapshot = Snapshot()
    entries: list = attrs.Factory(list)

    @property
    def first_index(self):
        return self.snapshot.index + 1

    @property
    def last_index(self):
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self):
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term(self, index):
        """Return the term at an index, or None when it is not kept here."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def between(self, first, last):
        """Return the entries from ``first`` to ``last``, both included."""
        low = max(first, self.first_index) - self.first_index
        return self.entries[low : max(low, last - self.snapshot.index)]

    def append(self, entries):
        """Append entries, cutting off whatever stood from their index on."""
        if entries:
            del self.entries[entries[0].index - self.first_index :]
            self.entries.extend(entries)

    def reset(self, snapshot):
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self.entries.clear()

    def compact(self, snapshot):
        """Drop the entries that a snapshot of our own state contains."""
        self.entries = self.between(snapshot.index + 1, self.last_index)
        self.snapshot = snapshot

    def is_up_to_date(self, last_index, last_term):
        """Return True when a log ending there is at least as new as this one."""
        return (last_term, last_index) >= (self.last_term, self.last_index)
