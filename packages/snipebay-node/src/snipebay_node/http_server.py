"""HTTP/1.1 towards callers, backend servers and operators, parsed by h11.

The parser that comes with ``circuits.web`` answers requests with two framings,
keeps whole bodies of any size and drops pipelined requests, so it serves only
the metrics address, see docs/design/http.md.
"""

import itertools
import json

import h11
from snipebay_model.units import HEAD_LIMIT_BYTES

__all__ = ["Exchange", "HttpServer", "problem_body"]

HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
PIPELINE_LIMIT_BYTES = 64 * 1024
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

    Attributes:
        request_id: Id unique in this process.
        method: Method as text.
        target: Path and query as text.
        headers: Pairs of lower-case name and value, as bytes.
        body: Whole body.
        body_limit: Greatest body taken, set when the head is checked.
        on_gone: Function called when the caller leaves before the answer ends.
    """

    def __init__(self, connection, request_id, event):
        self.connection = connection
        self.request_id = request_id
        self.method = event.method.decode("ascii")
        self.target = event.target.decode("ascii", "replace")
        self.headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        self.body = bytearray()
        self.body_limit = 0
        self.on_gone = None
        self.is_started = False
        self.is_done = False
        self.span = None

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        return self.target.partition("?")[2]

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
        self.respond(status, body, PROBLEM_TYPE, headers)

    def start(self, status, headers):
        """Send the head of an answer."""
        if self.is_done or self.is_started:
            return
        self.is_started = True
        self.connection.send(
            h11.Response(status_code=status, headers=list(headers), reason=b"")
        )

    def write(self, data):
        """Send a part of the body."""
        if not self.is_done and data:
            self.connection.send(h11.Data(data=bytes(data)))

    def finish(self):
        """End the answer."""
        if not self.is_done:
            self.is_done = True
            self.connection.send(h11.EndOfMessage())
            self.connection.answered()

    def cut(self):
        """Break the answer off, so that the caller can see that it is not whole."""
        self.is_done = True
        self.connection.stream.abort()

    def gone(self):
        """Tell whoever works on it that the caller has left."""
        if not self.is_done:
            self.is_done = True
            if self.on_gone is not None:
                self.on_gone()


class HttpServer:
    """Accepts connections and hands whole requests to an application.

    Args:
        app: Has ``check_head(exchange)``, which sets the body limit or answers
            at once, and ``handle(exchange)``.
        clock: Function returning the time in seconds.
    """

    def __init__(self, app, clock):
        self.app = app
        self.clock = clock
        self.connections = set()
        self.is_stopping = False
        self._ids = itertools.count(1)

    def accept(self, stream):
        """Take in a new stream."""
        self.connections.add(_Connection(self, stream))

    def next_id(self):
        return next(self._ids)

    def tick(self, now_s):
        """Close connections that take too long to send a request."""
        for connection in list(self.connections):
            if now_s >= connection.deadline_s:
                connection.time_out()

    def stop(self):
        """Let running requests end, and close connections without one."""
        self.is_stopping = True
        for connection in list(self.connections):
            connection.close_if_idle()


class _Connection:
    """One connection of a caller."""

    def __init__(self, server, stream):
        self.server = server
        self.stream = stream
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )
        self.exchange = None
        self._waiting = False
        self._pending_bytes = 0
        self._busy = False
        self._set_deadline(HEAD_TIMEOUT_S)
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed

    # --- from the socket --------------------------------------------------

    def _on_data(self, data):
        if self._waiting:
            # Pipelined requests wait for their turn, within a bound.
            self._pending_bytes += len(data)
            if self._pending_bytes > PIPELINE_LIMIT_BYTES:
                self.stream.pause()
        try:
            self.http.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError):
            self.stream.abort()
            return
        self._pull()

    def _on_closed(self):
        self.server.connections.discard(self)
        if self.exchange is not None:
            self.exchange.gone()

    def _pull(self):
        """Take events from the parser until it needs more bytes."""
        if self._busy:
            return
        self._busy = True
        try:
            while self.stream.is_open and not self._waiting:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self._invite_body()
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                self._take(event)
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint or 400, str(exc))
        finally:
            self._busy = False

    def _invite_body(self):
        if self.http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _take(self, event):
        if isinstance(event, h11.Request):
            self._on_head(event)
        elif isinstance(event, h11.Data):
            self._on_body(event.data)
        elif isinstance(event, h11.EndOfMessage) and not self.exchange.is_done:
            self._waiting = True
            self._set_deadline(None)
            self.server.app.handle(self.exchange)

    def _on_head(self, event):
        self.exchange = Exchange(self, self.server.next_id(), event)
        fault = _framing_fault(self.exchange)
        if fault:
            self._refuse(400, fault)
            return
        self._set_deadline(BODY_TIMEOUT_S)
        self.server.app.check_head(self.exchange)

    def _on_body(self, data):
        if self.exchange.is_done:
            return
        self.exchange.body += data
        if len(self.exchange.body) > self.exchange.body_limit:
            limit = self.exchange.body_limit
            self._refuse(413, f"the body is over the limit of {limit} bytes")

    # --- to the socket ----------------------------------------------------

    def send(self, event):
        """Send an HTTP event."""
        if not self.stream.is_open:
            return
        if isinstance(event, h11.Response) and self.server.is_stopping:
            event = h11.Response(
                status_code=event.status_code,
                headers=[*event.headers, (b"connection", b"close")],
                reason=b"",
            )
        try:
            data = self.http.send(event)
        except h11.LocalProtocolError:
            # Such as a body longer than its announced length.
            self.stream.abort()
            return
        if data:
            self.stream.write(data)

    def answered(self):
        """Go on to the next request, or close when that can't be done."""
        self._waiting = False
        self._pending_bytes = 0
        if not self.stream.is_open:
            return
        body_missing = self.http.their_state is not h11.DONE
        if self.http.our_state is h11.MUST_CLOSE or body_missing:
            self.stream.close()
            return
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
            self.exchange = None
            self._set_deadline(IDLE_TIMEOUT_S)
            self.stream.resume()
            self._pull()

    def time_out(self):
        """Close a connection that took too long."""
        if self.http.our_state is h11.IDLE and self.exchange is None:
            self.stream.abort()
        else:
            self._refuse(408, "the request took too long to arrive")

    def close_if_idle(self):
        if self.exchange is None:
            self.stream.close()

    def _refuse(self, status, detail):
        """Answer a request that can't be understood, and close."""
        self._set_deadline(None)
        if self.exchange is not None and self.exchange.is_started:
            self.stream.abort()
            return
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = problem_body(status, "not-run", detail)
            headers = [
                ("Content-Type", PROBLEM_TYPE),
                ("Content-Length", str(len(body))),
                ("Snipebay-Outcome", "not-run"),
                ("Connection", "close"),
            ]
            self.send(h11.Response(status_code=status, headers=headers, reason=b""))
            self.send(h11.Data(data=body))
            self.send(h11.EndOfMessage())
        if self.exchange is not None:
            self.exchange.is_done = True
        self.stream.close()

    def _set_deadline(self, seconds):
        limit_s = float("inf") if seconds is None else seconds
        self.deadline_s = self.server.clock() + limit_s


def _framing_fault(exchange):
    """Return why a request's framing is refused, or an empty string."""
    lengths = [v for name, v in exchange.headers if name == b"content-length"]
    codings = [v for name, v in exchange.headers if name == b"transfer-encoding"]
    hosts = [v for name, v in exchange.headers if name == b"host"]
    if lengths and codings:
        return "both Content-Length and Transfer-Encoding"
    if len(lengths) > 1 or len(codings) > 1 or len(hosts) > 1:
        return "a framing header stands twice"
    if exchange.method == "CONNECT":
        return "CONNECT is not served"
    return ""
