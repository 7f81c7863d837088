"""Persistent Raft state and the in-memory log that follows a snapshot."""

import attrs

__all__ = ["HardState", "PersistentState", "RaftLog", "Snapshot"]


@attrs.frozen
class HardState:
    """Term and vote, which must be synced before a message that depends on them.

    Attributes:
        term: Current term.
        voted_for: Node that got the vote in this term, or an empty string.
    """

    term: int = 0
    voted_for: str = ""


@attrs.frozen
class Snapshot:
    """State of the applied log up to an index.

    Attributes:
        index: Last log index that the snapshot includes.
        term: Term of the entry at that index.
        members: Configuration at that index, as pairs of node and whether it is a
            voter.
        data: Encoded state.
    """

    index: int = 0
    term: int = 0
    members: tuple = ()
    data: bytes = b""


@attrs.frozen
class PersistentState:
    """Raft state that a control instance loads from its disk at start."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple = ()


@attrs.define
class RaftLog:
    """Snapshot and the log entries that follow it."""

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
        """Return the term of an index, or None if the log doesn't have the entry."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def entries_between(self, first, last):
        """Return the entries from ``first`` to ``last`` inclusive."""
        low = max(first, self.first_index) - self.first_index
        return self.entries[low : max(low, last - self.snapshot.index)]

    def append(self, entries):
        """Append entries after truncating the log at the index of the first one."""
        if entries:
            del self.entries[entries[0].index - self.first_index :]
            self.entries.extend(entries)

    def reset(self, snapshot):
        """Discard the log and start from a snapshot."""
        self.snapshot = snapshot
        self.entries.clear()

    def compact(self, snapshot):
        """Discard the entries that a snapshot of the local state includes."""
        self.entries = self.entries_between(snapshot.index + 1, self.last_index)
        self.snapshot = snapshot

    def is_up_to_date(self, last_index, last_term):
        """Return True if a log with this last entry is at least as up to date."""
        return (last_term, last_index) >= (self.last_term, self.last_index)
