"""Messages between snipebay processes and commands of the replicated log."""

import attrs

from snipebay_model.commands import (
    WITHDRAWN,
    Abort,
    ApplyPlan,
    ApplySettings,
    Claim,
    Evacuate,
    Finish,
    HoldBackend,
    PutBackend,
    PutEntry,
    Reap,
    RemoveBackend,
    RemoveEntry,
)
from snipebay_model.view import EntryRow, ViewDelta

__all__ = [
    "WITHDRAWN",
    "Abort",
    "AppendReply",
    "AppendRequest",
    "ApplyPlan",
    "ApplySettings",
    "Claim",
    "CommandReply",
    "CommandRequest",
    "Evacuate",
    "Finish",
    "Hello",
    "HoldBackend",
    "LoanReply",
    "LoanRequest",
    "LoanReturn",
    "LogEntry",
    "Outcome",
    "PeerBeat",
    "PutBackend",
    "PutEntry",
    "Reap",
    "RemoveBackend",
    "RemoveEntry",
    "Renew",
    "RenewReply",
    "SnapshotRequest",
    "StatusReply",
    "StatusRequest",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
]


# --- replicated log -------------------------------------------------------


@attrs.frozen
class LogEntry:
    """One record of the replicated log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended it.
        kind: ``command``, ``members`` or ``noop``.
        data: Encoded command or member list.
    """

    index: int
    term: int
    kind: str
    data: bytes = b""


@attrs.frozen
class Hello:
    """Announces a control instance that has no members on its disk yet."""

    fresh: bool
    members: tuple[tuple[str, bool], ...] = ()


@attrs.frozen
class VoteRequest:
    """Asks for a vote, or with ``pre`` whether a vote would be given."""

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


@attrs.frozen
class VoteReply:
    """Answers a :class:`VoteRequest`."""

    term: int
    granted: bool
    pre: bool = False


@attrs.frozen
class TimeoutNow:
    """Asks a follower to stand for election at once, as its leader stops."""

    term: int


@attrs.frozen
class AppendRequest:
    """Replicates entries, confirms leadership and carries the commit index."""

    term: int
    prev_index: int
    prev_term: int
    commit: int
    round_id: int
    entries: tuple[LogEntry, ...] = ()


@attrs.frozen
class AppendReply:
    """Answers append and snapshot requests.

    Attributes:
        term: Term of the follower.
        success: True when the log matched.
        match_index: Last index known to match, or where to try next.
        round_id: Round of the request answered.
    """

    term: int
    success: bool
    match_index: int
    round_id: int


@attrs.frozen
class SnapshotRequest:
    """Replaces a follower's log by the state at an index."""

    term: int
    index: int
    last_term: int
    members: tuple[tuple[str, bool], ...]
    round_id: int
    data: bytes


# --- entry instances and control -----------------------------------------


@attrs.frozen
class Outcome:
    """What a command led to.

    Attributes:
        code: ``ok``, ``conflict``, ``invalid``, ``missing``, ``replay``,
            ``running``, ``unknown``, ``mismatch``, ``aborted``,
            ``not-leader`` or ``busy``.
        revision: View revision after the command, or index of the log.
        detail: What a person should read.
        status: HTTP status of a replayed answer.
        content_type: Content type of a replayed answer.
        answer: Body of a replayed answer, None when it was not kept.
    """

    code: str
    revision: int = 0
    detail: str = ""
    status: int = 0
    content_type: str = ""
    answer: bytes | None = None


@attrs.frozen
class CommandRequest:
    """Asks the leader to commit one command."""

    request_id: int
    kind: str
    data: bytes


@attrs.frozen
class CommandReply:
    """Answers a :class:`CommandRequest`."""

    request_id: int
    outcome: Outcome
    leader: str = ""


@attrs.frozen
class StatusRequest:
    """Asks for what control knows, read as current.

    Attributes:
        request_id: Id to find the reply by.
        what: ``status``, ``settings`` or ``history``.
    """

    request_id: int
    what: str = "status"


@attrs.frozen
class StatusReply:
    """State of the control group as JSON, or a refusal in ``outcome``."""

    request_id: int
    outcome: Outcome
    leader: str = ""
    data: bytes = b""


@attrs.frozen
class Renew:
    """Renews an entry instance's lease and reports where it stands.

    Attributes:
        row: The instance as it describes itself.
        sent_ms: Sender's clock, echoed in the reply.
        applied: Revision in force here.
        settled: Revision whose slots all earlier work here fits into.
        backends_seen: Backend servers that renewed here since the last message.
        busy_leaving: Leaving backend servers that still run work from here.
        load_reports: Requests in flight by service, for operators.
        needs: Slots that its requests keep busy by service, a moving average.
    """

    row: EntryRow
    sent_ms: int
    applied: int
    settled: int
    backends_seen: tuple[str, ...] = ()
    busy_leaving: tuple[str, ...] = ()
    load_reports: dict[str, int] = attrs.Factory(dict)
    needs: dict[str, float] = attrs.Factory(dict)


@attrs.frozen
class RenewReply:
    """Grants a lease and brings the entry instance forward.

    Attributes:
        leader: Control instance that answered, or its best guess.
        granted: True when the sender holds a lease.
        sent_ms: Echo of the request.
        lease_ms: Lease from ``sent_ms`` on.
        settled_floor: Revision that every live entry instance has settled.
        quorum_revision: Newest revision committed.
        delta: Changes the entry instance lacks, or None.
        drained: Backend servers that no live entry instance uses any more.
        refused: Why the sender may not join, or empty.
        controls: Control instances to turn to, the leader among them.
        demand: Rows of service, region and the slots that its requests need.
    """

    leader: str
    granted: bool
    sent_ms: int = 0
    lease_ms: int = 0
    settled_floor: int = 0
    quorum_revision: int = 0
    delta: ViewDelta | None = None
    drained: tuple[str, ...] = ()
    refused: str = ""
    controls: tuple[str, ...] = ()
    demand: tuple[tuple[str, str, float], ...] = ()


# --- between entry instances ----------------------------------------------


@attrs.frozen
class PeerBeat:
    """Sign of life between entry instances of one region.

    Attributes:
        entry_id: Instance id of the sender.
        incarnation: Incarnation of the sender.
        revision: View revision in force at the sender.
        sent_ms: Sender's clock.
        echo_ms: Newest ``sent_ms`` that the sender had from the receiver.
        leaving: Backend servers that told the sender that they leave.
    """

    entry_id: str
    incarnation: str
    revision: int
    sent_ms: int
    echo_ms: int = 0
    leaving: tuple[str, ...] = ()


@attrs.frozen
class LoanRequest:
    """Asks another entry instance for slots on backend servers of its region."""

    loan_id: int
    service: str
    region: str
    count: int
    sent_ms: int


@attrs.frozen
class LoanReply:
    """Lends slots until ``lease_ms`` after the request was sent.

    Attributes:
        loan_id: Id of the request.
        service: Service of the slots.
        sent_ms: Echo of the request.
        lease_ms: Time from ``sent_ms`` in which work may be started.
        slots: Pairs of backend server and slot number; empty for a refusal.
    """

    loan_id: int
    service: str
    sent_ms: int
    lease_ms: int
    slots: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class LoanReturn:
    """Gives lent slots back before their time."""

    loan_id: int
    slots: tuple[tuple[str, int], ...]
