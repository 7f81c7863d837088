"""One persistent HTTP/1.1 connection to a backend server."""

import attrs
import h11

from snipebay_node.body_blocks import BLOCK_BYTES, BodyBlocks

__all__ = [
    "CONNECT_TIMEOUT_S",
    "MISDIRECTED_REQUEST",
    "UpstreamConnection",
    "UpstreamRequest",
]

IDLE_TIMEOUT_S = 20.0
# Several round trips between regions (0.08 s each). A connect that takes longer has
# lost a packet; retrying at another backend server is faster than waiting for the
# retransmission.
CONNECT_TIMEOUT_S = 0.4
MAX_BUFFERED_BODY_BYTES = 16 * 1024
# Idle connections are kept for this fraction of the backend server's announced
# keep-alive timeout, so that it does not close one while a request is in transit.
KEEP_ALIVE_FRACTION = 0.6
MAX_INFORMATIONAL_RESPONSES = 16
MISDIRECTED_REQUEST = 421
# Statuses beyond this have no meaning in HTTP (RFC 9110, section 15).
MAX_STATUS = 599
# Part of a body written at a time, before other connections have their turn.
MAX_ROUND_BYTES = 1024 * 1024


def _as_blocks(body):
    return body if isinstance(body, BodyBlocks) else BodyBlocks(body)


@attrs.frozen
class UpstreamRequest:
    """A request to send to a backend server.

    Attributes:
        attempt_id: Id of the attempt that the request belongs to.
        address: Address ``host:port`` of the backend server.
        method: HTTP method.
        target: Path and query.
        headers: Pairs of name and value, as bytes.
        body: The complete body, as :class:`BodyBlocks`.
        request_id: Expected request id if the response echoes one.
        is_hop: True when the address is that of another entry instance.
    """

    attempt_id: int
    address: str
    method: str
    target: str
    headers: list
    body: BodyBlocks = attrs.field(converter=_as_blocks)
    request_id: bytes = b""
    is_hop: bool = False


class UpstreamConnection:
    """One connection to a backend server.

    Attributes:
        req: The request in progress, or None while idle.
        last_used_s: Time at which the connection was opened, last given a request
            or last became idle.
        request_count: Number of requests that were started on it.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    def __init__(self, pool, stream, address):
        self.pool = pool
        self.stream = stream
        self.address = address
        self.parser = h11.Connection(h11.CLIENT)
        self.last_used_s = pool.clock()
        self.req = None
        self._body = None
        self._unsent = iter(())
        self.request_count = 0
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self._reset_response()
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed
        stream.on_connected = self._on_connected
        stream.on_drained = self._write_blocks

    def start(self, req):
        self.req = req
        self._body = req.body
        self._body.retain()
        self.request_count += 1
        self.last_used_s = self.pool.clock()
        self._reset_response()
        if not self.stream.is_open:
            self._fail("no connection")
        elif not self.stream.is_connecting:
            self._write_request()

    def _reset_response(self):
        """Prepare for the response to a new request."""
        self._response = None
        self._response_body = bytearray()
        self._is_identified = False
        self._is_not_run = False
        self._refusal_bytes = 0
        self._informational_count = 0

    def abandon(self):
        """Close the connection without notifying the listener."""
        self.req = None
        self._release_body()
        self.stream.abort()

    def time_out_connect(self):
        """Fail the request because the connection was not established in time."""
        self._fail(f"no connection within {CONNECT_TIMEOUT_S} s")
        self.stream.abort()

    def _on_connected(self):
        self.pool.on_connected(self.address, self.pool.clock() - self.last_used_s)
        self._write_request()

    def _write_request(self):
        req = self.req
        if req is None:
            # A probe, or a request that was cancelled, which aborts the stream.
            return
        if not self.pool.listener.may_write(req.attempt_id):
            self.abandon()
            return
        head = h11.Request(method=req.method, target=req.target, headers=req.headers)
        data = self.parser.send(head)
        if len(req.body) > BLOCK_BYTES:
            self.stream.write(data)
            self._unsent = iter(req.body.sealed())
            self._write_blocks()
            return
        if req.body:
            data += self.parser.send(h11.Data(data=bytes(req.body)))
        data += self.parser.send(h11.EndOfMessage())
        self.stream.write(data)
        self._release_body()

    def _write_blocks(self):
        """Write the blocks of a large body as the socket accepts them."""
        written = 0
        while self._body is not None and self.stream.is_open:
            if self.stream.buffered_bytes:
                return
            if written >= MAX_ROUND_BYTES:
                self.stream.notify_writable()
                return
            block = next(self._unsent, None)
            if block is None:
                self.stream.write(self.parser.send(h11.EndOfMessage()))
                self._release_body()
                return
            for part in self.parser.send_with_data_passthrough(h11.Data(data=block)):
                self.stream.write(part)
            written += len(block)

    def _release_body(self):
        """Stop holding the body of the request."""
        body, self._body = self._body, None
        self._unsent = iter(())
        if body is not None:
            body.release()

    def _on_data(self, data):
        if self.req is None:
            # Unsolicited bytes on an idle connection.
            self.stream.abort()
            return
        self._receive(data)

    def _on_closed(self):
        self.pool.remove_idle(self)
        if self.req is None:
            return
        if self._response is not None and not self.stream.was_reset:
            # A response without a length ends when the connection closes.
            self._receive(b"")
        if self.req is not None:
            reset = self.stream.was_reset
            self._fail("the connection was reset" if reset else "the connection ended")

    def _receive(self, data):
        try:
            self.parser.receive_data(data)
            while self.req is not None:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as exc:
            self._fail(f"bad answer: {exc}")
            self.stream.abort()

    def _handle_event(self, event):
        listener, attempt_id = self.pool.listener, self.req.attempt_id
        if isinstance(event, h11.InformationalResponse):
            self._on_informational()
        elif isinstance(event, h11.Response):
            self._on_head(event, listener, attempt_id)
        elif isinstance(event, h11.Data) and self._is_not_run:
            self._on_refusal_body(event.data)
        elif isinstance(event, h11.Data):
            if len(self._response_body) <= MAX_BUFFERED_BODY_BYTES:
                self._response_body += event.data
            listener.on_data(attempt_id, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_message_end(listener, attempt_id)

    def _on_head(self, event, listener, attempt_id):
        header_names = self.pool.header_names
        headers = dict(event.headers)
        mismatch = self._identify(event.headers)
        if event.status_code > MAX_STATUS:
            # The parser rejects lower ones and those that are no number.
            mismatch = f"bad answer: status {event.status_code!r}"
        if mismatch is not None:
            self._fail(mismatch)
            self.stream.abort()
            return
        self._response = event
        self._is_not_run = (
            header_names.not_run in headers
            or event.status_code == MISDIRECTED_REQUEST
            or (self.req.is_hop and headers.get(header_names.outcome) == b"not-run")
        )
        self._apply_keep_alive(headers.get(b"keep-alive", b""))
        if not self._is_not_run:
            pairs = [(bytes(name), bytes(value)) for name, value in event.headers]
            listener.on_head(attempt_id, event.status_code, pairs)

    def _identify(self, headers):
        """Return why a response may belong to another request, or None.

        Without an id, a response to the first request of a connection is accepted;
        on a later one it could be the response to an earlier request, sent again.
        """
        expected = self.req.request_id
        if not expected or not self.pool.header_names.request_id:
            self._is_identified = True
            return None
        echoed = [v for n, v in headers if n == self.pool.header_names.request_id]
        other = next((value for value in echoed if value != expected), None)
        if other is not None:
            return f"an answer to {other!r}"
        self._is_identified = bool(echoed)
        if not echoed and self.request_count > 1:
            return "an answer without the request's id"
        return None

    def _apply_keep_alive(self, value):
        """Derive the idle timeout from a backend server's Keep-Alive header."""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_timeout_s = min(
                    IDLE_TIMEOUT_S, KEEP_ALIVE_FRACTION * int(seconds)
                )

    def _on_informational(self):
        """Skip an informational response, up to a number that a server may need."""
        self._informational_count += 1
        if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
            self._fail("too many informational responses")
            self.stream.abort()

    def _on_refusal_body(self, data):
        """Discard the body of a refusal; the head has said all that counts."""
        self._refusal_bytes += len(data)
        if self._refusal_bytes > MAX_BUFFERED_BODY_BYTES:
            self._on_message_end(self.pool.listener, self.req.attempt_id)

    def _on_message_end(self, listener, attempt_id):
        req, self.req = self.req, None
        self._release_body()
        self.pool.release(attempt_id)
        self._keep_or_close()
        status = self._response.status_code
        headers = [(bytes(n), bytes(v)) for n, v in self._response.headers]
        if self._is_not_run:
            listener.on_not_run(attempt_id, status, headers)
            return
        is_buffered = len(self._response_body) <= MAX_BUFFERED_BODY_BYTES
        body = bytes(self._response_body) if is_buffered else None
        listener.on_end(req.attempt_id, status, headers, body)

    def _keep_or_close(self):
        is_ended = (
            self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE
        )
        # A 421 that is repeated would be believed when its request comes once more, to
        # the backend server that has the address now.
        is_misdirected = self._response.status_code == MISDIRECTED_REQUEST
        # Trailing bytes would be parsed as the response to the next request.
        has_trailing_bytes = bool(self.parser.trailing_data[0])
        is_reusable = (
            is_ended
            and self._is_identified
            and not is_misdirected
            and not has_trailing_bytes
        )
        if is_reusable and self.stream.is_open:
            self.parser.start_next_cycle()
            self.last_used_s = self.pool.clock()
            self.stream.resume()
            self.pool.add_idle(self)
        else:
            self.stream.abort()

    def _fail(self, reason):
        req, self.req = self.req, None
        self._release_body()
        self.pool.release(req.attempt_id)
        self.pool.listener.on_failure(req.attempt_id, reason)
