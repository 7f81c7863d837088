"""One HTTP request of a caller and its response."""

import json

import h11

from snipebay_node.body_blocks import BodyBlocks

__all__ = ["PROBLEM_TYPE", "Exchange", "problem_body"]

PROBLEM_TYPE = "application/problem+json"
# A response that waits for an earlier one counts as congested above this.
MAX_HELD_BYTES = 64 * 1024
# Memory of a header beside its bytes: two objects and their pair.
HEADER_BYTES = 160
_STATUS_TITLES = {
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    428: "Precondition Required",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def problem_body(status, outcome, detail, **extra):
    """Return an RFC 9457 problem document."""
    document = {
        "type": f"urn:snipebay:{outcome}",
        "title": _STATUS_TITLES.get(status, "Error"),
        "status": status,
        "outcome": outcome,
        "detail": detail,
        **extra,
    }
    return json.dumps(document).encode()


class Exchange:
    """One HTTP request and its response.

    Each exchange has its own parser, so that pipelined requests are handled
    concurrently; their responses are sent in the order of the requests.

    Attributes:
        connection: Connection on which the request arrived.
        parser: The h11 parser of this request and its response.
        held_events: HTTP events of the response, held back until the responses to
            earlier requests have been sent.
        held_bytes: Body bytes among them.
        head_bytes: Memory of the head that counts in the budget.
        request_id: Id unique in this process.
        method: Method as text.
        target: Path and query as text.
        headers: Pairs of lower-case name and value, as bytes.
        body: Request body received so far, as :class:`BodyBlocks`. It is discarded
            when the response begins.
        body_limit: Maximum body size in bytes, set when the head is checked.
        body_weight: Bytes of memory to reserve for each byte of the body, set when the
            head is checked; above 1 if it is parsed.
        on_disconnect: Called when the caller disconnects before the response ends.
        on_writable: Called when the response is no longer congested.
        is_complete: True once the entire request has been received.
        completed_s: When that was.
        is_handled: True once the request was passed to the application.
        is_started: True once the response head was sent or queued.
        is_done: True once the response has ended, or was aborted by either side.
        closes_connection: True if the connection closes after the response, unless
            further requests have arrived.
        span: Trace span of the request, or None.
        detail: Detail of the problem document sent, or empty.
    """

    def __init__(self, connection, parser, request_id, event):
        self.connection = connection
        self.parser = parser
        self.held_events = []
        self.held_bytes = self.head_bytes = 0
        self.request_id = request_id
        self.method = event.method.decode("ascii")
        self.target = event.target.decode("latin-1")
        self.headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        self.body = BodyBlocks()
        self._holds_body = True
        self.body_limit = 0
        self.body_weight = 1
        self.on_disconnect = None
        self.on_writable = None
        self.is_complete = False
        self.completed_s = 0.0
        self.is_handled = False
        self.is_started = False
        self.is_done = False
        self.closes_connection = False
        self.span = None
        self.detail = ""

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        return self.target.partition("?")[2]

    @property
    def is_safe(self):
        """True for a safe method, see RFC 9110, section 9.2.1."""
        return self.method in ("GET", "HEAD")

    @property
    def log_index(self):
        """Log index applied here at least when the caller connected, -1 if unknown."""
        return self.connection.log_index

    @property
    def stream(self):
        return self.connection.stream

    @property
    def waited_s(self):
        """Time for which the complete request has waited behind others."""
        return self.connection.server.clock() - self.completed_s

    @property
    def is_due(self):
        """True once the responses to all earlier requests have been sent."""
        pipeline = self.connection.pipeline
        return bool(pipeline) and pipeline[0] is self

    @property
    def has_others(self):
        """True while other requests of the connection are in progress."""
        return any(
            other.is_handled for other in self.connection.pipeline if other is not self
        )

    @property
    def has_memory(self):
        """True while the process has memory to hold more than it has to."""
        return self.connection.server.budget.free_bytes > 0

    @property
    def is_congested(self):
        """True while no more of the response should be produced.

        The caller reads slowly, or an earlier response is not sent yet.
        """
        return self.stream.is_congested or self.held_bytes > MAX_HELD_BYTES

    def header(self, name):
        """Return the first value of a header as text, or an empty string."""
        encoded_name = name.lower().encode()
        values = [value for key, value in self.headers if key == encoded_name]
        return values[0].decode("latin-1") if values else ""

    def respond(self, status, body=b"", content_type="application/json", headers=()):
        """Send a complete response."""
        fields = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        self.start(status, fields)
        self.write(body)
        self.finish()

    def respond_json(self, status, document):
        """Send a complete response with a JSON body."""
        self.respond(status, json.dumps(document).encode())

    def problem(self, status, outcome, detail, retry_after_s=None, headers=(), **extra):
        """Send a problem document as the response."""
        headers = list(headers)
        if retry_after_s is not None:
            headers.append(("Retry-After", str(retry_after_s)))
        headers.append(("Snipebay-Outcome", outcome))
        body = problem_body(status, outcome, detail, **extra)
        self.detail = detail
        self.respond(status, body, PROBLEM_TYPE, headers)

    def start(self, status, headers):
        """Send the status line and the headers of the response."""
        if self.is_done or self.is_started:
            return
        self.is_started = True
        self.release_body()
        on_response = self.connection.server.on_response
        if on_response is not None:
            on_response(self, status, self.detail)
        self.connection.send(
            self, h11.Response(status_code=status, headers=list(headers), reason=b"")
        )

    def write(self, data):
        """Send a part of the response body."""
        if not self.is_done and data:
            self.connection.send(self, h11.Data(data=bytes(data)))

    def finish(self):
        """End the response."""
        if not self.is_done:
            self.is_done = True
            self.connection.send(self, h11.EndOfMessage())
            self.connection.finish_response(self)

    def break_off(self, detail):
        """End a response that can't be completed.

        If nothing of it was sent yet, an error takes its place. Otherwise the
        connection closes, which also cuts the other requests on it.
        """
        if not self.is_started or not self.is_due:
            self.held_events = []
            self.forget_held_bytes()
            self.is_started = False
            self.problem(502, "unknown", detail)
        else:
            self.abort()

    def abort(self):
        """Close the connection, so that the caller sees a truncated response."""
        self.is_done = True
        self.release_body()
        self.connection.stream.abort()

    def handle_disconnect(self):
        """End the exchange and notify its handler that the caller disconnected."""
        self.held_events = []
        self.forget_held_bytes()
        if not self.is_done:
            self.is_done = True
            self.release_body()
            if self.on_disconnect is not None:
                self.on_disconnect()

    def hold_head(self):
        """Count the memory of the head in the budget of the process."""
        self.head_bytes = len(self.target) + sum(
            HEADER_BYTES + len(name) + len(value) for name, value in self.headers
        )
        self.connection.server.budget.hold(self.head_bytes)

    def forget_head(self):
        """Note that the head is no longer held."""
        self.connection.server.budget.hold(-self.head_bytes)
        self.head_bytes = 0

    def release_body(self):
        """Stop holding the body."""
        if self._holds_body:
            self._holds_body = False
            self.body.release()

    def forget_held_bytes(self):
        """Note that no part of the response is held back any more."""
        self.connection.server.budget.hold(-self.held_bytes)
        self.held_bytes = 0
