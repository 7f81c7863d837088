"""Commands of the replicated log."""

import attrs

from snipebay_model.plan import Plan
from snipebay_model.view import BackendRow, EntryRow

__all__ = [
    "WITHDRAWN",
    "Abort",
    "ApplyPlan",
    "ApplySettings",
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

# Reason of a removal that the backend server itself asked for.
WITHDRAWN = "withdrawn"


@attrs.frozen
class ApplySettings:
    """Replaces the settings tree if it still is at ``base_revision``."""

    change_id: str
    base_revision: int
    author: str
    text: str
    note: str = ""


@attrs.frozen
class ApplyPlan:
    """Replaces the traffic plan if it still is at ``base_version``.

    Attributes:
        digest: Digest of the change as it was sent, to know a resend by.
        base_version: Version that the change builds on, 0 for none.
        plan: The plan after the change.
    """

    digest: str
    base_version: int
    plan: Plan


@attrs.frozen
class Evacuate:
    """Keeps requests from the backend servers of a failure domain, or ends that."""

    domain: str
    evacuated: bool


@attrs.frozen
class PutBackend:
    """Adds or changes a backend server."""

    row: BackendRow


@attrs.frozen
class RemoveBackend:
    """Removes a backend server that left or whose lease ran out."""

    backend_id: str
    reason: str


@attrs.frozen
class HoldBackend:
    """Drains a backend server for an operator, or ends that."""

    backend_id: str
    held: bool
    change_id: str


@attrs.frozen
class PutEntry:
    """Adds or changes an entry instance."""

    row: EntryRow


@attrs.frozen
class RemoveEntry:
    """Removes an entry instance that left or whose lease ran out."""

    entry_id: str
    incarnation: str
    reason: str


@attrs.frozen
class Claim:
    """Claims an idempotency key before the first byte goes to a backend server.

    Attributes:
        service: Service of the request.
        key: Idempotency key sent by the caller.
        digest: Digest of the request, to find a key used twice.
        claim_id: Value unique to this claim.
        claimer: Instance that will dispatch.
        retention_ms: Time for which the key is remembered.
    """

    service: str
    key: str
    digest: str
    claim_id: str
    claimer: str
    retention_ms: int


@attrs.frozen
class Finish:
    """Records the answer of a claimed request, or that it is unknown."""

    service: str
    key: str
    claim_id: str
    status: int = 0
    content_type: str = ""
    answer: bytes | None = None
    unknown: bool = False


@attrs.frozen
class Abort:
    """Records that the key was not run and never will be."""

    service: str
    key: str
    claim_id: str
    retention_ms: int


@attrs.frozen
class Reap:
    """Moves the clock of the replicated state and drops rows past retention."""

    now_ms: int
