"""Messages on the quotas of workspaces."""

import attrs

__all__ = ["CreditPart", "CreditReply", "CreditReport", "CreditRequest"]


@attrs.frozen
class CreditPart:
    """Part of a workspace's limit that one entry instance may use.

    Attributes:
        workspace: Name of the workspace.
        per_s: Requests per second.
        burst: Credit that it may save up.
    """

    workspace: str
    per_s: float
    burst: float


@attrs.frozen
class CreditReport:
    """Use of a workspace's limit at one entry instance since its last report.

    Attributes:
        workspace: Name of the workspace.
        wanted: Requests that asked for credit.
        admitted: Those that got it.
        per_s: Rate of the part that the instance holds, 0 without one.
        burst: Burst of that part.
        held: Spare credits that the instance holds, see :class:`CreditReply`.
    """

    workspace: str
    wanted: int
    admitted: int
    per_s: float = 0.0
    burst: float = 0.0
    held: int = 0


@attrs.frozen
class CreditRequest:
    """Asks the leader for credit beyond the sender's part.

    Attributes:
        request_id: Id, unique for the sender, that the reply repeats.
        workspace: Name of the workspace.
        count: Requests that wait for credit.
        spare: Further credits that the sender would keep for its next requests.
        held: Spare credits of earlier replies that it still holds.
        returned: Spare credits that it gives back unused, no longer among ``held``.
    """

    request_id: int
    workspace: str
    count: int
    spare: int = 0
    held: int = 0
    returned: int = 0


@attrs.frozen
class CreditReply:
    """Reply to a :class:`CreditRequest`.

    Attributes:
        request_id: Echo of the request.
        workspace: Echo of the request.
        granted: Requests that may be sent now.
        due_ms: Milliseconds until further credit is due, if not all were granted.
        is_known: False while the sender can't tell, because it doesn't lead or has just
            begun to.
        spare: Credits to keep for later requests, valid for some seconds.
    """

    request_id: int
    workspace: str
    granted: int
    due_ms: int = 0
    is_known: bool = True
    spare: int = 0
