"""Commands of the replicated log."""

import attrs

from snipebay_model.plan import Plan
from snipebay_model.view import BackendRow, EntryRow

__all__ = [
    "WITHDRAWN",
    "Abort",
    "ApplyPlan",
    "ApplySettings",
    "ApplyWorkspacePlan",
    "Claim",
    "Evacuate",
    "Finish",
    "HoldBackend",
    "PutBackend",
    "PutEntry",
    "Reap",
    "RemoveBackend",
    "RemoveEntry",
]

# Reason of a removal that the backend server requested.
WITHDRAWN = "withdrawn"


@attrs.frozen
class ApplySettings:
    """Replaces the settings tree if it is still at ``base_revision``.

    Attributes:
        change_id: Id chosen by the client; a repeated call with the same id gets
            the first outcome.
        base_revision: Settings revision that the change builds on, 0 for none.
        author: Who makes the change.
        text: The new settings tree as YAML.
        note: Why, in the author's words.
    """

    change_id: str
    base_revision: int
    author: str
    text: str
    note: str = ""


@attrs.frozen
class ApplyPlan:
    """Replaces the traffic plan if it is still at ``base_version``.

    Attributes:
        digest: Digest of the change as it was sent, to recognize a repeated call.
        base_version: Version that the change builds on, 0 for none.
        plan: The plan after the change.
    """

    digest: str
    base_version: int
    plan: Plan


@attrs.frozen
class ApplyWorkspacePlan:
    """Does the same for a plan with workspaces.

    Builds without workspaces can't decode it. They would otherwise apply the plan
    without them, and serve its routes to callers without a key.

    Attributes:
        digest: Digest of the change as it was sent, to recognize a repeated call.
        base_version: Version that the change builds on, 0 for none.
        plan: The plan after the change.
    """

    digest: str
    base_version: int
    plan: Plan


@attrs.frozen
class Evacuate:
    """Stops requests to the backend servers of a failure domain, or resumes them.

    Attributes:
        domain: The failure domain.
        evacuated: True to stop, False to resume.
    """

    domain: str
    evacuated: bool


@attrs.frozen
class PutBackend:
    """Adds or updates a backend server.

    Attributes:
        row: The backend server as announced.
    """

    row: BackendRow


@attrs.frozen
class RemoveBackend:
    """Removes a backend server that left or whose lease expired.

    Attributes:
        backend_id: Id of the backend server.
        reason: Why; :data:`WITHDRAWN` when the backend server asked for it.
        born_ms: Start time of the incarnation that asked for it, 0 if unknown. The
            leader compares it before it proposes the command. It has no effect when
            the command is applied, as older builds don't know it.
    """

    backend_id: str
    reason: str
    born_ms: int = 0


@attrs.frozen
class HoldBackend:
    """Drains a backend server for an operator, or ends the drain.

    Attributes:
        backend_id: Id of the backend server.
        held: True to drain it, False to give it requests again.
        change_id: Id chosen by the client; a repeated call with the same id gets
            the first outcome.
    """

    backend_id: str
    held: bool
    change_id: str


@attrs.frozen
class PutEntry:
    """Adds or updates an entry instance.

    Attributes:
        row: The entry instance as it describes itself.
    """

    row: EntryRow


@attrs.frozen
class RemoveEntry:
    """Removes an entry instance that left or whose lease expired.

    Attributes:
        entry_id: Instance id.
        incarnation: Incarnation to remove; another one stays.
        reason: Why.
    """

    entry_id: str
    incarnation: str
    reason: str


@attrs.frozen
class Claim:
    """Claims an idempotency key before the request goes to a backend server.

    Attributes:
        service: Service of the request.
        key: Idempotency key sent by the caller.
        digest: Digest of the request, to detect a key reused for another one.
        claim_id: Id unique to this claim.
        claimer: Id of the instance that will send the request.
        retention_ms: Milliseconds for which the key is kept.
    """

    service: str
    key: str
    digest: str
    claim_id: str
    claimer: str
    retention_ms: int


@attrs.frozen
class Finish:
    """Records the response to a claimed request, or that it is unknown.

    Attributes:
        service: Service of the request.
        key: Idempotency key.
        claim_id: Id of the claim.
        status: HTTP status of the response.
        content_type: Content type of the response.
        answer: Body of the response, None when it isn't stored.
        unknown: True when the request may have run but no response is known.
    """

    service: str
    key: str
    claim_id: str
    status: int = 0
    content_type: str = ""
    answer: bytes | None = None
    unknown: bool = False


@attrs.frozen
class Abort:
    """Records that the request of a key was not run and never will be.

    Attributes:
        service: Service of the request.
        key: Idempotency key.
        claim_id: Id of the claim.
        retention_ms: Milliseconds for which a key without a claim is kept.
    """

    service: str
    key: str
    claim_id: str
    retention_ms: int


@attrs.frozen
class Reap:
    """Advances the clock of the replicated state and expires idempotency keys.

    Attributes:
        now_ms: New time in Unix milliseconds; an older one is ignored.
    """

    now_ms: int
