"""Requests in progress, and the actions that an entry instance issues."""

import attrs
from snipebay_model.view import BackendRow

from snipebay_policy.slot_assignment import Slot

__all__ = [
    "Attempt",
    "Cancel",
    "Dispatch",
    "Probe",
    "Problem",
    "Relay",
    "Replay",
    "RequestInfo",
    "RequestRow",
    "Send",
]

NOT_RUN = "not-run"
UNKNOWN = "unknown"
# Statuses by which callers of routed requests know that one has not run and never will.
PROMISE_STATUSES = (408, 421, 429, 503)


@attrs.frozen
class RequestInfo:
    """Properties of a request that steering depends on.

    Attributes:
        service: Service named in the path.
        timeout_s: Timeout set by the caller, or None for the service's deadline.
        key: Idempotency key, or empty.
        digest: Digest of method, path and body for a request with a key.
    """

    service: str
    timeout_s: float | None = None
    key: str = ""
    digest: str = ""


@attrs.define
class Attempt:
    """One sending of a request to one backend server.

    Attributes:
        attempt_id: Id unique at this instance.
        slot: Slot that it occupies.
        started_s: Time of dispatch.
        is_hedge: True for a parallel attempt beside a running one.
        is_written: True once a byte may have reached the backend server.
        is_relayed: True once its response goes to the caller.
    """

    attempt_id: int
    slot: Slot
    started_s: float
    is_hedge: bool = False
    is_written: bool = False
    is_relayed: bool = False


@attrs.define
class RequestRow:
    """State of one request.

    Attributes:
        request_id: Id unique at this instance.
        info: Properties of the request.
        rules: Rules of its service at arrival.
        region: Region chosen for it at arrival.
        arrived_s: Time of arrival.
        deadline_s: Time by which the request must have completed.
        claim_id: Id of the claim on its idempotency key, or empty.
        claim_state: ``none``, ``asked`` (claim sent), ``held`` (claim granted) or
            ``aborting`` (abort sent).
        claim_sent_s: Time at which the claim or its abort was last sent.
        attempts: Running attempts by id.
        excluded_backends: Ids of backend servers not to be tried again: those of
            failed attempts, and that of the attempt being hedged.
        attempt_count: Number of attempts started so far.
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
    claim_sent_s: float = 0.0
    attempts: dict = attrs.Factory(dict)
    excluded_backends: set = attrs.Factory(set)
    attempt_count: int = 0
    is_shifted: bool = False

    @property
    def may_dispatch(self):
        """True when at-most-once execution permits another attempt."""
        return self.rules.idempotent or self.claim_state == "held"


# --- actions --------------------------------------------------------------


@attrs.frozen
class Dispatch:
    """Send a request to a backend server, or through another entry instance.

    Attributes:
        request_id: Id of the request.
        attempt_id: Id of the attempt.
        backend: Backend server to send it to; for a hop, the entry instance.
        deadline_s: Time by which the response must be complete.
        reason: Inputs of the decision, for the log.
        attempts_before_hop: For a hop, number of earlier attempts; None for a
            backend server.
        workspace: Name of the request's workspace, or empty.
    """

    request_id: int
    attempt_id: int
    backend: BackendRow
    deadline_s: float
    reason: dict = attrs.Factory(dict)
    attempts_before_hop: int | None = None
    workspace: str = ""


@attrs.frozen
class Probe:
    """Open a connection to a backend server, without a request.

    Attributes:
        backend: The backend server.
        tests_reach: False if only the time that it takes is of interest.
    """

    backend: BackendRow
    tests_reach: bool = True


@attrs.frozen
class Cancel:
    """Cancel an attempt by closing its connection."""

    attempt_id: int


@attrs.frozen
class Relay:
    """Stream the response of an attempt to the caller."""

    request_id: int
    attempt_id: int


@attrs.frozen
class Problem:
    """Respond to the caller with a problem document.

    Attributes:
        request_id: Id of the request.
        status: HTTP status.
        outcome: Whether the request ran: ``not-run``, ``ran`` or ``unknown``.
        detail: Explanation for a human reader.
        retry_after_s: Seconds to wait before a retry, or None.
        reason: Metric label value, from a fixed set.
        inputs: Inputs of the decision, for the log; empty when no route matched or
            when the last :class:`Dispatch` of the request holds them.
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
    """Respond with the stored response to an earlier request with the same key."""

    request_id: int
    status: int
    content_type: str
    answer: bytes


@attrs.frozen
class Send:
    """Send a message to an instance, or to the control leader if ``control``."""

    target: str
    body: object
