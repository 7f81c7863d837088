"""One request of a caller and its answer."""

import json

import h11

__all__ = ["PROBLEM_TYPE", "Exchange", "problem_body"]

PROBLEM_TYPE = "application/problem+json"
_REASONS = {
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    428: "Precondition Required",
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
        "title": _REASONS.get(status, "Error"),
        "status": status,
        "outcome": outcome,
        "detail": detail,
        **extra,
    }
    return json.dumps(document).encode()


class Exchange:
    """One request and its answer.

    Each has a parser of its own, so that pipelined requests are worked on side
    by side; their answers leave in the order in which the requests came.

    Attributes:
        request_id: Id unique in this process.
        method: Method as text.
        target: Path and query as text.
        headers: Pairs of lower-case name and value, as bytes.
        body: Whole body.
        body_limit: Greatest body taken, set when the head is checked.
        on_disconnect: Function called when the caller leaves before the answer ends.
        is_whole: True once the whole request has arrived.
        is_handled: True once the application has it.
        detail: What was wrong with it, empty when nothing was.
    """

    def __init__(self, connection, parser, request_id, event):
        self.connection = connection
        self.parser = parser
        self.outbox = bytearray()
        self.request_id = request_id
        self.method = event.method.decode("ascii")
        self.target = event.target.decode("latin-1")
        self.headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        self.body = bytearray()
        self.body_limit = 0
        self.on_disconnect = None
        self.is_whole = False
        self.is_handled = False
        self.is_started = False
        self.is_done = False
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
        """True for a method that changes nothing, see RFC 9110 9.2.1."""
        return self.method in ("GET", "HEAD")

    @property
    def stream(self):
        return self.connection.stream

    def header(self, name):
        """Return a header's value as text, or an empty string."""
        wanted = name.lower().encode()
        values = [value for key, value in self.headers if key == wanted]
        return values[0].decode("latin-1") if values else ""

    def respond(self, status, body=b"", content_type="application/json", headers=()):
        """Send a whole answer."""
        lines = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        self.start(status, lines)
        self.write(body)
        self.finish()

    def respond_json(self, status, document):
        """Send a whole answer as JSON."""
        self.respond(status, json.dumps(document).encode())

    def problem(self, status, outcome, detail, retry_after_s=None, **extra):
        """Send a problem document."""
        headers = []
        if retry_after_s is not None:
            headers.append(("Retry-After", str(retry_after_s)))
        headers.append(("Snipebay-Outcome", outcome))
        body = problem_body(status, outcome, detail, **extra)
        self.detail = detail
        self.respond(status, body, PROBLEM_TYPE, headers)

    def start(self, status, headers):
        """Send the head of an answer."""
        if self.is_done or self.is_started:
            return
        self.is_started = True
        on_response = self.connection.server.on_response
        if on_response is not None:
            on_response(self, status, self.detail)
        self.connection.send(
            self, h11.Response(status_code=status, headers=list(headers), reason=b"")
        )

    def write(self, data):
        """Send a part of the body."""
        if not self.is_done and data:
            self.connection.send(self, h11.Data(data=bytes(data)))

    def finish(self):
        """End the answer."""
        if not self.is_done:
            self.is_done = True
            self.connection.send(self, h11.EndOfMessage())
            self.connection.answered(self)

    def abort(self):
        """Break the answer off, so that the caller can see that it is not whole."""
        self.is_done = True
        self.connection.stream.abort()

    def handle_disconnect(self):
        """Tell whoever works on it that the caller has left."""
        if not self.is_done:
            self.is_done = True
            if self.on_disconnect is not None:
                self.on_disconnect()
