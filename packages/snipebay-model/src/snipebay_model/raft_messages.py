"""Messages between control instances, which replicate the log."""

import attrs

__all__ = [
    "AppendReply",
    "AppendRequest",
    "Hello",
    "LogEntry",
    "SnapshotRequest",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
]


@attrs.frozen
class LogEntry:
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, from 1.
        term: Election term of the leader that appended it.
        kind: ``command``, ``members`` or ``noop``.
        data: Encoded command or member list; empty for ``noop``.
    """

    index: int
    term: int
    kind: str
    data: bytes = b""


@attrs.frozen
class Hello:
    """Sent by a control instance without a member list, and its reply.

    Attributes:
        fresh: True when the sender has no member list in its data folder.
        members: Pairs of node name and whether it is a voter, as the sender
            knows them; empty if ``fresh``.
    """

    fresh: bool
    members: tuple[tuple[str, bool], ...] = ()


@attrs.frozen
class VoteRequest:
    """Asks for a vote in an election.

    Attributes:
        term: Election term of the candidate; of a pre-vote, the term that it
            would start.
        last_index: Index of the last entry of the candidate's log.
        last_term: Term of that entry.
        pre: True for a pre-vote, which asks whether a vote would be granted and
            doesn't change the receiver's term.
        transfer: True when the leader asked the candidate to take over; voters
            then skip the check that the leader is unresponsive.
    """

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


@attrs.frozen
class VoteReply:
    """Reply to a :class:`VoteRequest`.

    Attributes:
        term: Term of the request if granted, else the voter's current term.
        granted: True when the vote is given.
        pre: Echo of the request.
    """

    term: int
    granted: bool
    pre: bool = False


@attrs.frozen
class TimeoutNow:
    """Asks a follower to start an election at once, as its leader stops.

    Attributes:
        term: Term of the leader.
    """

    term: int


@attrs.frozen
class AppendRequest:
    """Replicates log entries; without entries, the leader's heartbeat.

    Attributes:
        term: Term of the leader.
        prev_index: Index of the entry before the first one sent.
        prev_term: Term of that entry, which the follower's log must match.
        commit: Highest log index known to be committed.
        round_id: Number of the leader's broadcast. Replies to it confirm that
            the leader still led when the broadcast was sent.
        entries: Entries to append, in order.
    """

    term: int
    prev_index: int
    prev_term: int
    commit: int
    round_id: int
    entries: tuple[LogEntry, ...] = ()


@attrs.frozen
class AppendReply:
    """Reply to an :class:`AppendRequest` or a :class:`SnapshotRequest`.

    Attributes:
        term: Term of the follower.
        success: True when the follower's log matches the request.
        match_index: On success, the last index known to match; otherwise the
            index from which the leader should retry.
        round_id: Echo of the request.
        reads_workspaces: True if the follower can apply plans with workspaces.
    """

    term: int
    success: bool
    match_index: int
    round_id: int
    reads_workspaces: bool = False


@attrs.frozen
class SnapshotRequest:
    """Replaces a follower's log up to an index by a snapshot of the state.

    Attributes:
        term: Term of the leader.
        index: Last log index that the snapshot covers.
        last_term: Term of the entry at that index.
        members: Pairs of node name and whether it is a voter, at that index.
        round_id: Number of the leader's broadcast, as in an append request.
        data: Encoded replicated state.
    """

    term: int
    index: int
    last_term: int
    members: tuple[tuple[str, bool], ...]
    round_id: int
    data: bytes
