"""HTTP/1.1 towards callers, backend servers and operators, parsed by h11.

The parser that comes with ``circuits.web`` answers requests with two framings,
keeps whole bodies of any size and drops pipelined requests, so it serves only
the metrics address, see docs/design/http.md.
"""

import collections
import itertools

import h11
from snipebay_model.plan import RequestLimits
from snipebay_model.units import HEAD_LIMIT_BYTES

from snipebay_node.exchange import PROBLEM_TYPE, Exchange, problem_body

__all__ = ["HttpServer"]

BODY_TIMEOUT_S = 30.0
PIPELINE_LIMIT_BYTES = 64 * 1024
# Requests of one connection that are worked on at once.
PIPELINE_MOST = 16
DEFAULT_LIMITS = RequestLimits(head_bytes=HEAD_LIMIT_BYTES)


class HttpServer:
    """Accepts connections and hands whole requests to an application.

    Args:
        app: Has ``check_head(exchange)``, which sets the body limit or answers
            at once, and ``handle(exchange)``.
        clock: Function returning the time in seconds.
        limits: Function returning the :class:`RequestLimits` in force.
        on_response: Function of an exchange, its status and the detail of a problem,
            called when an answer begins.
    """

    def __init__(self, app, clock, limits=lambda: DEFAULT_LIMITS, on_response=None):
        self.app = app
        self.clock = clock
        self.limits = limits
        self.on_response = on_response
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
        self._parser = self._new_parser()
        self._reading = None
        self._pipeline = collections.deque()
        self._is_last = False
        self._busy = False
        self._set_deadline(server.limits().head_timeout_s)
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed

    # --- from the socket --------------------------------------------------

    def _on_data(self, data):
        if self._is_last:
            return
        if len(self._pipeline) >= PIPELINE_MOST:
            self.stream.pause()
        if not self._pipeline and self._reading is None and self._is_between:
            self._set_deadline(self.server.limits().head_timeout_s)
        try:
            self._parser.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError):
            self.stream.abort()
            return
        self._pull()

    @property
    def _is_between(self):
        """True before the first byte of a request."""
        return not self._parser.trailing_data[0]

    def _on_closed(self):
        self.server.connections.discard(self)
        for exchange in list(self._pipeline):
            exchange.handle_disconnect()
        if self._reading is not None:
            self._reading.handle_disconnect()

    def _pull(self):
        """Take events from the parser until it needs more bytes."""
        if self._busy:
            return
        self._busy = True
        try:
            while self._may_read:
                event = self._parser.next_event()
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

    @property
    def _may_read(self):
        room = len(self._pipeline) < PIPELINE_MOST
        return self.stream.is_open and not self._is_last and room

    def _invite_body(self):
        waits = self._parser.they_are_waiting_for_100_continue
        is_first = bool(self._pipeline) and self._pipeline[0] is self._reading
        if waits and is_first:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            self.stream.write(self._parser.send(informational))

    def _take(self, event):
        if isinstance(event, h11.Request):
            self._on_head(event)
        elif isinstance(event, h11.Data):
            self._on_body(event.data)
        elif isinstance(event, h11.EndOfMessage) and self._reading is not None:
            self._on_whole()

    def _on_head(self, event):
        exchange = Exchange(self, self._parser, self.server.next_id(), event)
        self._reading = exchange
        fault = _framing_fault(exchange)
        if fault:
            self._refuse(400, fault)
            return
        self._set_deadline(BODY_TIMEOUT_S)
        self._pipeline.append(exchange)
        self.server.app.check_head(exchange)

    def _on_body(self, data):
        exchange = self._reading
        if exchange is None or exchange.is_done:
            return
        exchange.body += data
        if len(exchange.body) > exchange.body_limit:
            limit = exchange.body_limit
            self._refuse(413, f"the body is over the limit of {limit} bytes")

    def _on_whole(self):
        """Hand a whole request on, and read the next one beside it."""
        exchange, self._reading = self._reading, None
        exchange.is_whole = True
        self._set_deadline(None)
        if self._parser.their_state is h11.DONE:
            rest, is_closed = self._parser.trailing_data
            self._parser = self._new_parser()
            if rest:
                self._parser.receive_data(rest)
            if is_closed:
                self._parser.receive_data(b"")
        else:
            self._is_last = True
        self._handle_next()

    def _handle_next(self):
        """Give the application what may run beside the requests before it."""
        for i, exchange in enumerate(list(self._pipeline)):
            if not exchange.is_whole:
                return
            if i and not exchange.is_safe:
                return
            if not exchange.is_handled and not exchange.is_done:
                exchange.is_handled = True
                self.server.app.handle(exchange)
            if not exchange.is_safe:
                return

    # --- to the socket ----------------------------------------------------

    def send(self, exchange, event):
        """Send an HTTP event of an answer, or keep it until its turn."""
        if not self.stream.is_open:
            return
        if isinstance(event, h11.Response) and self._must_close_after(exchange):
            event = h11.Response(
                status_code=event.status_code,
                headers=[*event.headers, (b"connection", b"close")],
                reason=b"",
            )
        try:
            data = exchange.parser.send(event)
        except h11.LocalProtocolError:
            # Such as a body longer than its announced length.
            self.stream.abort()
            return
        if not data:
            return
        if self._pipeline and self._pipeline[0] is exchange:
            self.stream.write(data)
        else:
            exchange.outbox += data

    def _must_close_after(self, exchange):
        """Return True for the last answer of a connection that is to end."""
        is_newest = bool(self._pipeline) and self._pipeline[-1] is exchange
        return self.server.is_stopping and is_newest

    def answered(self, exchange):
        """Go on to the next request, or close when that can't be done."""
        if not self._pipeline or self._pipeline[0] is not exchange:
            return
        while self._pipeline and self._pipeline[0].is_done and self.stream.is_open:
            done = self._pipeline.popleft()
            body_missing = not done.is_whole
            if done.parser.our_state is h11.MUST_CLOSE or body_missing:
                self._close()
                return
            if self._pipeline and self._pipeline[0].outbox:
                self.stream.write(bytes(self._pipeline[0].outbox))
                self._pipeline[0].outbox.clear()
        if not self.stream.is_open:
            return
        if not self._pipeline and self._reading is None:
            if self._is_last:
                self._close()
                return
            self._set_deadline(self.server.limits().idle_timeout_s)
        self._handle_next()
        self.stream.resume()
        self._pull()

    def _close(self):
        self._is_last = True
        self.stream.close()

    def time_out(self):
        """Close a connection that took too long."""
        if self._reading is None and self._is_between and not self._pipeline:
            self._close()
        else:
            self._refuse(408, "the request took too long to arrive")

    def close_if_idle(self):
        if self._reading is None and not self._pipeline and self._is_between:
            self._close()

    def _refuse(self, status, detail):
        """Answer a request that can't be understood, and close."""
        self._set_deadline(None)
        exchange, self._reading = self._reading, None
        if exchange is not None:
            exchange.is_done = True
            if exchange in self._pipeline:
                self._pipeline.remove(exchange)
        self._is_last = True
        if self._pipeline or (exchange is not None and exchange.is_started):
            # Answers before it can't be waited for; the caller sends them again.
            self.stream.abort()
            return
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = problem_body(status, "not-run", detail)
            headers = [
                ("Content-Type", PROBLEM_TYPE),
                ("Content-Length", str(len(body))),
                ("Snipebay-Outcome", "not-run"),
                ("Connection", "close"),
            ]
            response = h11.Response(status_code=status, headers=headers, reason=b"")
            events = (response, h11.Data(data=body), h11.EndOfMessage())
            self.stream.write(b"".join(self._parser.send(event) for event in events))
        self.stream.close()

    def _new_parser(self):
        head_bytes = self.server.limits().head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)

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
