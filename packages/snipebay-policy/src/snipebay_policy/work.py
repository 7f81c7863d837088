"""Requests on their way, and the actions that decisions lead to."""

import attrs
from snipebay_model.view import BackendRow

from snipebay_policy.slot_assignment import Slot

__all__ = [
    "Attempt",
    "Cancel",
    "Dispatch",
    "Problem",
    "Relay",
    "Replay",
    "RequestInfo",
    "RequestRow",
    "Send",
]

NOT_RUN = "not-run"
UNKNOWN = "unknown"


@attrs.frozen
class RequestInfo:
    """What a caller asks for.

    Attributes:
        service: Service named in the path.
        timeout_s: Time that the caller gives, or None for the service's own.
        key: Idempotency key, or empty.
        digest: Digest of method, path and body for a request with a key.
    """

    service: str
    timeout_s: float | None = None
    key: str = ""
    digest: str = ""


@attrs.define
class Attempt:
    """One try of a request on one backend server.

    Attributes:
        attempt_id: Id unique at this instance.
        slot: Slot that it uses.
        started_s: When it was dispatched.
        is_hedge: True for a second try beside a running one.
        wrote: True once a byte may have reached the backend server.
        won: True once its answer goes to the caller.
    """

    attempt_id: int
    slot: Slot
    started_s: float
    is_hedge: bool = False
    wrote: bool = False
    won: bool = False


@attrs.define
class RequestRow:
    """One request and what has been done for it.

    Attributes:
        request_id: Id unique at this instance.
        info: What the caller asks for.
        rules: Rules of its service when it arrived.
        region: Region that it should go to.
        arrived_s: When it arrived.
        deadline_s: When the caller stops waiting.
        claim_id: Claim on its key, or empty.
        claim_state: ``none``, ``asked``, ``held`` or ``aborting``.
        asked_s: When the claim or its abort was last sent.
        attempts: Running tries by id.
        tried: Backend servers that failed it.
        tries: Number of tries so far.
        is_shifted: True once it counts as sent to another region.
    """

    request_id: int
    info: RequestInfo
    rules: object
    region: str
    arrived_s: float
    deadline_s: float
    claim_id: str = ""
    claim_state: str = "none"
    asked_s: float = 0.0
    attempts: dict = attrs.Factory(dict)
    tried: set = attrs.Factory(set)
    tries: int = 0
    is_shifted: bool = False

    @property
    def may_dispatch(self):
        """True when at-most-once allows a first or further try."""
        return self.rules.idempotent or self.claim_state == "held"


# --- actions --------------------------------------------------------------


@attrs.frozen
class Dispatch:
    """Send a request to a backend server.

    Attributes:
        request_id: The request.
        attempt_id: The attempt.
        backend: Where it goes.
        deadline_s: When it must have been answered.
        reason: What decided, for the log.
    """

    request_id: int
    attempt_id: int
    backend: BackendRow
    deadline_s: float
    reason: dict = attrs.Factory(dict)


@attrs.frozen
class Cancel:
    """Close the connection of a try, whose answer nobody wants."""

    attempt_id: int


@attrs.frozen
class Relay:
    """Stream a try's answer to the caller."""

    request_id: int
    attempt_id: int


@attrs.frozen
class Problem:
    """Tell the caller that its request failed.

    Attributes:
        request_id: The request.
        status: HTTP status.
        outcome: ``not-run`` or ``unknown``.
        detail: What a person should read.
        retry_after_s: When to come again, or None.
        reason: One word for metrics, from a fixed set.
        inputs: What decided, for the log; empty when its route is not known, or
            when its last :class:`Dispatch` tells.
    """

    request_id: int
    status: int
    outcome: str
    detail: str
    retry_after_s: int | None = None
    reason: str = ""
    inputs: dict = attrs.Factory(dict)


@attrs.frozen
class Replay:
    """Give the caller the answer that an earlier request with its key had."""

    request_id: int
    status: int
    content_type: str
    answer: bytes


@attrs.frozen
class Send:
    """Send a message to an instance, or to the control leader for ``control``."""

    target: str
    body: object
