"""Messages between snipebay processes and commands of the replicated log."""

import attrs

from snipebay_model.commands import (
    WITHDRAWN,
    Abort,
    ApplyPlan,
    ApplySettings,
    ApplyWorkspacePlan,
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
from snipebay_model.credits import (
    CreditPart,
    CreditReply,
    CreditReport,
    CreditRequest,
)
from snipebay_model.load_news import LoadNews, LoadRow
from snipebay_model.loans import LoanReply, LoanRequest, LoanReturn, PeerBeat
from snipebay_model.permits import PermitReply, PermitRequest, RateLimitReport
from snipebay_model.raft_messages import (
    AppendReply,
    AppendRequest,
    Hello,
    LogEntry,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from snipebay_model.view import EntryRow, ViewDelta

__all__ = [
    "WITHDRAWN",
    "Abort",
    "AppendReply",
    "AppendRequest",
    "ApplyPlan",
    "ApplySettings",
    "ApplyWorkspacePlan",
    "Claim",
    "CommandReply",
    "CommandRequest",
    "CreditPart",
    "CreditReply",
    "CreditReport",
    "CreditRequest",
    "Evacuate",
    "Finish",
    "Hello",
    "HoldBackend",
    "LoadNews",
    "LoadRow",
    "LoanReply",
    "LoanRequest",
    "LoanReturn",
    "LogEntry",
    "Outcome",
    "PeerBeat",
    "PermitReply",
    "PermitRequest",
    "PutBackend",
    "PutEntry",
    "RateLimitReport",
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


@attrs.frozen
class Outcome:
    """Result of a command.

    Attributes:
        code: ``ok``, ``conflict``, ``invalid``, ``missing``, ``stale``,
            ``replay``, ``running``, ``unknown``, ``mismatch``, ``aborted``,
            ``done``, ``outdated``, ``superseded``, ``pending``, ``not-leader`` or
            ``busy``.
        revision: View revision after the command; for a change of the settings,
            the settings revision.
        detail: Explanation for people, stored and shown as it is.
        status: HTTP status of a replayed response.
        content_type: Content type of a replayed response.
        answer: Body of a replayed response, None when it wasn't stored.
    """

    code: str
    revision: int = 0
    detail: str = ""
    status: int = 0
    content_type: str = ""
    answer: bytes | None = None


@attrs.frozen
class CommandRequest:
    """Asks the leader to commit one command.

    Attributes:
        request_id: Id, unique for the sender, that the reply repeats.
        kind: Class name of the command.
        data: Encoded command.
        base_index: For an order, the log index that the sender had applied when the
            caller connected; -1 from senders that do not know it.
    """

    request_id: int
    kind: str
    data: bytes
    base_index: int = -1


@attrs.frozen
class CommandReply:
    """Reply to a :class:`CommandRequest`.

    Attributes:
        request_id: Echo of the request.
        outcome: Result of the command, or why it was refused.
        leader: Id of the leader as the sender knows it, or empty.
    """

    request_id: int
    outcome: Outcome
    leader: str = ""


@attrs.frozen
class StatusRequest:
    """Asks for a linearizable read of the control group's state.

    Attributes:
        request_id: Id, unique for the sender, that the reply repeats.
        what: ``status``, ``plan``, ``settings`` or ``history``.
    """

    request_id: int
    what: str = "status"


@attrs.frozen
class StatusReply:
    """Reply to a :class:`StatusRequest`.

    Attributes:
        request_id: Echo of the request.
        outcome: ``ok``, or why the read was refused.
        leader: Id of the leader as the sender knows it, or empty.
        data: The part asked for: JSON, or MessagePack for ``plan``.
    """

    request_id: int
    outcome: Outcome
    leader: str = ""
    data: bytes = b""


@attrs.frozen
class Renew:
    """Renews an entry instance's lease and reports its state.

    Attributes:
        row: The instance's own description.
        sent_ms: Sender's clock in milliseconds, echoed in the reply.
        applied: View revision that the sender has applied.
        settled: Newest view revision whose slot assignment is complete at the
            sender: it has released every slot that the revision took from it.
        backends_seen: Ids of the backend servers whose announcements the sender
            received since its last message.
        busy_leaving: Ids of draining or removed backend servers that still run
            requests from the sender.
        load_reports: Open requests by service, shown to operators. Instances with
            a settings tree count those that run or wait, instances with a traffic
            plan only those that wait for a slot.
        needs: Moving average of the slots that the sender's requests need, by
            service.
        rate_limits: Rate limits of which the sender knows more than control.
        rate_limits_version: Version of the rate limits that the sender received last.
        is_isolated: True while the sender reaches no backend server.
        key_sketches: Rows of service, region and the bits of the affinity keys that
            the sender lately sent there, see :mod:`snipebay_model.key_sketch`.
        reads_plan_patches: True if the sender can apply patches of the plan and packed
            deltas. An older build can't, and would miss a change.
        reads_workspaces: True if the sender can apply plans with workspaces. An older
            build would serve them without asking for a key.
        credit_reports: Use of the limits of workspaces.
        reports_all_credit: True if they name all credit that the sender holds.
    """

    row: EntryRow
    sent_ms: int
    applied: int
    settled: int
    backends_seen: tuple[str, ...] = ()
    busy_leaving: tuple[str, ...] = ()
    load_reports: dict[str, int] = attrs.Factory(dict)
    needs: dict[str, float] = attrs.Factory(dict)
    rate_limits: tuple[RateLimitReport, ...] = ()
    rate_limits_version: tuple[int, int] = (0, 0)
    is_isolated: bool = False
    key_sketches: tuple[tuple[str, str, bytes], ...] = ()
    reads_plan_patches: bool = False
    reads_workspaces: bool = False
    credit_reports: tuple[CreditReport, ...] = ()
    reports_all_credit: bool = False


@attrs.frozen
class RenewReply:
    """Reply to a :class:`Renew`, also pushed without one on a new revision.

    Attributes:
        leader: Id of the leader as the sender knows it, or empty.
        granted: True when the lease of the receiver is renewed.
        sent_ms: Echo of the request, 0 in a pushed message.
        lease_ms: Length of the lease in milliseconds, from ``sent_ms`` on.
        settled_floor: Lowest ``settled`` of the entry instances of the
            receiver's region. They have released all slots that a revision up to
            this one assigned to the receiver.
        quorum_revision: Newest committed view revision, 0 when the sender isn't
            a leader that may serve.
        delta: Changes that the receiver lacks, or None.
        drained: Ids of draining backend servers that no entry instance uses.
        refused: Why the receiver may not join, or empty.
        controls: Ids of the control instances, the leader among them.
        demand: Rows of service, region and slots that the region's requests
            need, summed over its entry instances.
        rate_limits: Rate limits in force, or None when the receiver has this version.
        rate_limits_version: Term of the leader and number of its last change.
        isolated: Ids of the entry instances that reach no backend server.
        packed_delta: A long delta in place of ``delta``, see
            :mod:`snipebay_model.packed_delta`.
        key_counts: Rows of service, region and the number of affinity keys that all
            instances send there; empty while too few have reported.
        credit_parts: Parts of the limits of workspaces that the receiver may use.
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
    rate_limits: tuple[RateLimitReport, ...] | None = None
    rate_limits_version: tuple[int, int] = (0, 0)
    isolated: tuple[str, ...] = ()
    key_counts: tuple[tuple[str, str, int], ...] = ()
    packed_delta: bytes = b""
    credit_parts: tuple[CreditPart, ...] = ()
