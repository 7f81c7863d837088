"""Connections to backend servers: kept alive, one request at a time on each."""

import attrs
import h11

from snipebay_node.header_names import HeaderNames

__all__ = ["UpstreamPool", "UpstreamRequest", "next_hop_headers", "strip_hop_headers"]

IDLE_LIMIT_S = 20.0
IDLE_MOST = 8
# Some round trips between regions (0.08 s each). One that takes longer has lost a
# packet, and another backend server is there sooner than its retransmission.
CONNECT_TIMEOUT_S = 0.4
KEPT_BODY_BYTES = 16 * 1024
# Share of the idle time announced by a backend server for which we keep a
# connection, so that it is not closed while a request is on its way.
KEPT_SHARE = 0.6
MISDIRECTED_REQUEST = 421
HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection "
    b"te trailer transfer-encoding upgrade".split()
)


def strip_hop_headers(headers):
    """Return headers without those that RFC 9110 7.6.1 keeps to one hop."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    drop = HOP_HEADERS | named
    return [(name, value) for name, value in headers if name.lower() not in drop]


def next_hop_headers(exchange, replaced):
    """Return the headers of a request that go on, with the length of its body.

    Args:
        exchange: The request as it came.
        replaced: Names of headers that the next hop gets from us instead.
    """
    drop = (*replaced, b"content-length", b"expect")
    headers = [(n, v) for n, v in strip_hop_headers(exchange.headers) if n not in drop]
    if exchange.body or exchange.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", str(len(exchange.body)).encode()))
    return headers


@attrs.frozen
class UpstreamRequest:
    """A request for a backend server."""

    attempt_id: int
    address: str
    method: str
    target: str
    headers: list
    body: bytes
    request_id: bytes = b""


class UpstreamPool:
    """Connections to all backend servers.

    Args:
        hub: Makes the connections.
        clock: Function returning the time in seconds.
        listener: Has ``may_write(attempt_id)``, ``on_head(attempt_id, status,
            headers)``, ``on_data(attempt_id, data)``, ``on_end(attempt_id,
            status, headers, body)``, ``on_not_run(attempt_id, status,
            headers)`` and ``on_failure(attempt_id, reason)``.
        header_names: Header names of the backend servers.
    """

    def __init__(self, hub, clock, listener, header_names=None):
        self.header_names = header_names or HeaderNames()
        self.hub = hub
        self.clock = clock
        self.listener = listener
        self._idle = {}
        self._calls = {}

    def start(self, req):
        """Send a request on a kept connection, or on a new one."""
        connection = self._take_idle(req.address)
        if connection is None:
            connection = _Upstream(self, self.hub.connect(req.address), req.address)
        self._calls[req.attempt_id] = connection
        connection.start(req)

    def cancel(self, attempt_id):
        """Close the connection of a try, so that its answer can't be mixed up."""
        connection = self._calls.pop(attempt_id, None)
        if connection is not None:
            connection.abandon()

    def set_paused(self, attempt_id, paused):
        """Stop or go on reading an answer, as the caller can take it."""
        connection = self._calls.get(attempt_id)
        if connection is not None:
            (connection.stream.pause if paused else connection.stream.resume)()

    def tick(self, now_s):
        """Close connections that were idle for long or never connected."""
        for address, kept in list(self._idle.items()):
            for connection in list(kept):
                if now_s - connection.since_s > connection.idle_limit_s:
                    kept.remove(connection)
                    connection.stream.abort()
            if not kept:
                del self._idle[address]
        for connection in list(self._calls.values()):
            late = now_s - connection.since_s > CONNECT_TIMEOUT_S
            if connection.stream.is_connecting and late:
                connection.give_up_connecting()

    def close(self):
        """Close all idle connections."""
        for kept in self._idle.values():
            for connection in list(kept):
                connection.stream.abort()

    def done(self, attempt_id):
        """Forget a call that has ended."""
        self._calls.pop(attempt_id, None)

    def keep(self, connection):
        """Keep a connection for the next request."""
        kept = self._idle.setdefault(connection.address, [])
        if len(kept) >= IDLE_MOST:
            connection.stream.abort()
        else:
            kept.append(connection)

    def drop(self, connection):
        """Forget an idle connection that was closed from the other side."""
        kept = self._idle.get(connection.address, [])
        if connection in kept:
            kept.remove(connection)

    def _take_idle(self, address):
        kept = self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if self.clock() - connection.since_s <= connection.idle_limit_s:
                return connection
            connection.stream.abort()
        return None


class _Upstream:
    """One connection to a backend server."""

    def __init__(self, pool, stream, address):
        self.pool = pool
        self.stream = stream
        self.address = address
        self.http = h11.Connection(h11.CLIENT)
        self.since_s = pool.clock()
        self.req = None
        self._response = None
        self._body = bytearray()
        self._was_not_run = False
        self.idle_limit_s = IDLE_LIMIT_S
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed
        stream.on_connected = self._write

    def start(self, req):
        self.req = req
        self.since_s = self.pool.clock()
        self._response = None
        self._body = bytearray()
        self._was_not_run = False
        if not self.stream.is_open:
            self._fail("no connection")
        elif not self.stream.is_connecting:
            self._write()

    def abandon(self):
        """Close without telling anyone."""
        self.req = None
        self.stream.abort()

    def give_up_connecting(self):
        """Fail the request, since no connection has come about in time."""
        self._fail(f"no connection within {CONNECT_TIMEOUT_S} s")
        self.stream.abort()

    def _write(self):
        req = self.req
        if req is None or not self.pool.listener.may_write(req.attempt_id):
            self.abandon()
            return
        head = h11.Request(method=req.method, target=req.target, headers=req.headers)
        data = self.http.send(head)
        if req.body:
            data += self.http.send(h11.Data(data=req.body))
        data += self.http.send(h11.EndOfMessage())
        self.stream.write(data)

    def _on_data(self, data):
        if self.req is None:
            # Bytes that nobody asked for.
            self.stream.abort()
            return
        self._receive(data)

    def _on_closed(self):
        self.pool.drop(self)
        if self.req is None:
            return
        if self._response is not None and not self.stream.was_reset:
            # An answer without a length ends with the connection.
            self._receive(b"")
        if self.req is not None:
            reset = self.stream.was_reset
            self._fail("the connection was reset" if reset else "the connection ended")

    def _receive(self, data):
        try:
            self.http.receive_data(data)
            while self.req is not None:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    return
                self._take(event)
        except h11.RemoteProtocolError as exc:
            self._fail(f"bad answer: {exc}")
            self.stream.abort()

    def _take(self, event):
        listener, attempt_id = self.pool.listener, self.req.attempt_id
        if isinstance(event, h11.Response):
            self._on_head(event, listener, attempt_id)
        elif isinstance(event, h11.Data) and not self._was_not_run:
            if len(self._body) <= KEPT_BODY_BYTES:
                self._body += event.data
            listener.on_data(attempt_id, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._end(listener, attempt_id)

    def _on_head(self, event, listener, attempt_id):
        header_names = self.pool.header_names
        headers = dict(event.headers)
        echoed = headers.get(header_names.request_id, self.req.request_id)
        if echoed != self.req.request_id:
            self._fail(f"an answer to {echoed!r}")
            self.stream.abort()
            return
        self._response = event
        self._was_not_run = (
            header_names.not_run in headers or event.status_code == MISDIRECTED_REQUEST
        )
        self._note_keep_alive(headers.get(b"keep-alive", b""))
        if not self._was_not_run:
            pairs = [(bytes(name), bytes(value)) for name, value in event.headers]
            listener.on_head(attempt_id, event.status_code, pairs)

    def _note_keep_alive(self, value):
        """Take the idle time that a backend server announces."""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_limit_s = min(IDLE_LIMIT_S, KEPT_SHARE * int(seconds))

    def _end(self, listener, attempt_id):
        req, self.req = self.req, None
        self.pool.done(attempt_id)
        self._recycle()
        status, headers = self._response.status_code, dict(self._response.headers)
        if self._was_not_run:
            listener.on_not_run(attempt_id, status, headers)
            return
        whole = len(self._body) <= KEPT_BODY_BYTES
        listener.on_end(
            req.attempt_id, status, headers, bytes(self._body) if whole else None
        )

    def _recycle(self):
        ended = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # Bytes behind the answer would be taken for the next request's answer.
        reusable = ended and not self.http.trailing_data[0]
        if reusable and self.stream.is_open:
            self.http.start_next_cycle()
            self.since_s = self.pool.clock()
            self.stream.resume()
            self.pool.keep(self)
        else:
            self.stream.abort()

    def _fail(self, reason):
        req, self.req = self.req, None
        self.pool.done(req.attempt_id)
        self.pool.listener.on_failure(req.attempt_id, reason)
