"""State of the requests that a forwarder has in progress."""

import attrs

__all__ = ["ActiveRequest", "Attempt", "Response"]


@attrs.define
class Response:
    """The response to an attempt, as far as it has been received.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value, as bytes.
        leaving_backend: Row of the backend server if it says that it is leaving.
        buffered: Body bytes received but not yet relayed.
        is_reported: True once the core was informed of the response.
        discarded_bytes: Body bytes received after the caller had left.
    """

    status: int
    headers: list
    leaving_backend: object = None
    buffered: bytearray = attrs.Factory(bytearray)
    is_reported: bool = False
    discarded_bytes: int = 0


@attrs.define
class ActiveRequest:
    """A request in progress.

    Attributes:
        exchange: The HTTP exchange with the caller.
        request_id: Request id sent by the caller, or empty.
        arrived_s: Time of arrival.
        relayed_attempt_id: Id of the attempt whose response is relayed, or 0.
        long_attempt_id: Id of the last attempt with a long response, or 0.
        decision: Inputs of the last routing decision, for logs and metrics.
    """

    exchange: object
    request_id: str
    arrived_s: float
    relayed_attempt_id: int = 0
    long_attempt_id: int = 0
    decision: dict = attrs.Factory(dict)

    @property
    def service(self):
        return self.decision.get("service", "")

    @property
    def kind(self):
        return self.decision.get("kind", "")


@attrs.frozen
class Attempt:
    """An attempt in progress.

    Attributes:
        request_id: Id of the exchange with the caller.
        service: Service of the request.
        is_hop: True when it goes through another entry instance.
    """

    request_id: int
    service: str
    is_hop: bool = False
