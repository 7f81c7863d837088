"""One HTTP connection of a caller: parses requests and orders the responses."""

import collections

import h11

from snipebay_node.body_intake import BODY_TIMEOUT_S, HEAD_READ_BYTES, BodyIntake
from snipebay_node.dispatch_order import dispatchable
from snipebay_node.exchange import Exchange
from snipebay_node.rejections import (
    body_length,
    encode_rejection,
    framing_error,
    parse_error_detail,
)

__all__ = ["BODY_TIMEOUT_S", "STOP_IDLE_DELAY_S", "HttpConnection"]

# Limit on the requests of one connection that are handled concurrently.
MAX_PIPELINED_REQUESTS = 16
# Idle connections are closed this long after a planned stop begins: callers may just
# have sent a request that is not read yet, over a round trip between regions.
STOP_IDLE_DELAY_S = 0.5
# Memory of a connection without the bytes that it holds for its caller.
CONNECTION_BYTES = 16 * 1024
# Heads with more headers, and those behind earlier requests, count beside it.
USUAL_HEADERS = 32
# Parser events handled at a time, about 2 ms. A body in chunks of one byte has tens of
# thousands in each read.
MAX_EVENTS = 64
# Callers that are refused together are asked to return at different times.
MAX_RETRY_AFTER_S = 3


class HttpConnection:
    """One HTTP connection; parses requests and orders the responses.

    Attributes:
        log_index: Log index that this instance had at least applied when the caller
            connected, -1 if unknown. A process that was suspended may apply newer
            entries before it accepts a connection that has waited in its kernel.
        announced: Id and start time of the backend server that the caller announced
            last on this connection, empty and 0 before.
        pipeline: Exchanges whose responses have not ended, in the order of arrival.
        active_s: Time of the last input or accept.
        is_deferred: True while input waits until other connections had their turn.
    """

    def __init__(self, server, stream):
        self.server = server
        self.stream = stream
        self.log_index = server.known_index
        self.announced = "", 0
        self._parser = self._new_parser()
        self._receiving = None
        self.pipeline = collections.deque()
        self._rejection = b""
        self._is_input_ended = False
        self._is_parsing = False
        self.is_deferred = False
        self._intake = BodyIntake(self)
        self.active_s = server.clock()
        server.budget.hold(CONNECTION_BYTES)
        self.set_deadline(server.limits().head_timeout_s)
        stream.read_bytes = HEAD_READ_BYTES
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed
        stream.on_drained = self._notify_writable

    # --- input ------------------------------------------------------------

    def _on_data(self, data):
        if self._is_input_ended:
            return
        if self._is_waiting:
            # Only a connection that has ended is read while it is paused.
            self.stream.abort()
            return
        self.active_s = self.server.clock()
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            self.stream.pause()
        if not self.pipeline and self._receiving is None and self._is_input_empty:
            self.set_deadline(self.server.limits().head_timeout_s)
        try:
            self._parser.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError):
            self.stream.abort()
            return
        self._process_events()

    @property
    def _is_input_empty(self):
        """True if no byte of a further request has been received."""
        return not self._parser.trailing_data[0]

    def _on_closed(self):
        self.server.connections.discard(self)
        self.server.budget.hold(-CONNECTION_BYTES)
        for exchange in list(self.pipeline):
            exchange.forget_head()
            exchange.handle_disconnect()
        if self._receiving is not None:
            self._receiving.handle_disconnect()

    def _process_events(self):
        """Handle parser events until the parser needs more bytes."""
        if self._is_parsing:
            return
        self._is_parsing = True
        try:
            has_more = self._handle_events()
        except h11.RemoteProtocolError as exc:
            self.reject(exc.error_status_hint or 400, parse_error_detail(exc))
            return
        finally:
            self._is_parsing = False
        if has_more:
            self._defer_parsing()

    def _handle_events(self):
        """Handle a bounded number of parser events; return True if more are left."""
        for _ in range(MAX_EVENTS):
            if not self._may_parse:
                return False
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._send_continue()
                return False
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return False
            self._handle_event(event)
        return True

    @property
    def _may_parse(self):
        has_capacity = len(self.pipeline) < MAX_PIPELINED_REQUESTS
        is_accepting = not self._is_input_ended and not self._is_waiting
        return self.stream.is_open and is_accepting and has_capacity

    @property
    def _is_waiting(self):
        """True while the body that arrives waits for room."""
        claim = self._intake.claim
        return claim is not None and claim.is_waiting

    def _defer_parsing(self):
        """Continue after the other connections had their turn."""
        if self.is_deferred:
            return
        self.is_deferred = True
        self.stream.pause()
        self.stream.call_soon(self._continue_parsing)

    def _continue_parsing(self):
        self.is_deferred = False
        self._intake.note_progress()
        self.continue_reading()

    def continue_reading(self):
        """Handle the input that was held back, and read further input."""
        self._process_events()
        self._update_reading()

    def _update_reading(self):
        """Read unless input is held back for a reason that persists."""
        if self._is_input_ended or (self._may_parse and not self.is_deferred):
            self.stream.resume()

    def _send_continue(self):
        expects_continue = self._parser.they_are_waiting_for_100_continue
        is_first = bool(self.pipeline) and self.pipeline[0] is self._receiving
        if expects_continue and is_first:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            self.stream.write(self._parser.send(informational))

    def _handle_event(self, event):
        if isinstance(event, h11.Request):
            self._on_request_head(event)
        elif isinstance(event, h11.Data):
            self._intake.receive(self._receiving, event.data)
        elif isinstance(event, h11.EndOfMessage) and self._receiving is not None:
            self._on_request_complete()

    def _on_request_head(self, event):
        exchange = Exchange(self, self._parser, self.server.next_request_id(), event)
        self._receiving = exchange
        detail = framing_error(exchange)
        if detail:
            self.reject(400, detail)
            return
        self.set_deadline(BODY_TIMEOUT_S)
        if self.pipeline or len(exchange.headers) > USUAL_HEADERS:
            exchange.hold_head()
        self.pipeline.append(exchange)
        if exchange.head_bytes and self.server.budget.free_bytes < 0:
            self.server.budget.rejected["no_room"] += 1
            self.reject(503, "no room for the request now", "no_room")
            return
        self.server.app.check_head(exchange)
        length = body_length(exchange)
        if length != 0 and not exchange.is_done and self.stream.is_open:
            self._intake.open(exchange, length, len(self._parser.trailing_data[0]))

    def _on_request_complete(self):
        """Dispatch a complete request and start parsing the next one."""
        exchange, self._receiving = self._receiving, None
        exchange.is_complete = True
        exchange.completed_s = self.server.clock()
        self._intake.end()
        self.set_deadline(None)
        if self._parser.their_state is h11.DONE:
            trailing, is_closed = self._parser.trailing_data
            self._parser = self._new_parser()
            if trailing:
                self._parser.receive_data(trailing)
            if is_closed:
                self._parser.receive_data(b"")
        else:
            self._is_input_ended = True
        self._dispatch_ready()

    def _dispatch_ready(self):
        """Pass the requests that may run concurrently to the application."""
        for exchange in dispatchable(self.pipeline):
            exchange.is_handled = True
            self.server.app.handle(exchange)

    # --- output -----------------------------------------------------------

    def send(self, exchange, event):
        """Send an HTTP event of a response, or hold it until earlier ones are sent."""
        if exchange.is_due:
            self._write(exchange, event)
        else:
            exchange.held_events.append(event)
            if isinstance(event, h11.Data):
                exchange.held_bytes += len(event.data)
                self.server.budget.hold(len(event.data))

    def _write(self, exchange, event):
        """Write an event of the response that is due."""
        if not self.stream.is_open:
            return
        if isinstance(event, h11.Response) and self._is_final_response(exchange):
            event = h11.Response(
                status_code=event.status_code,
                headers=[*event.headers, (b"connection", b"close")],
                reason=b"",
            )
            self._is_input_ended = True
        try:
            data = exchange.parser.send(event)
        except h11.LocalProtocolError:
            # For example a body longer than its Content-Length.
            self.stream.abort()
            return
        self.stream.write(data or b"")

    def _write_held(self, exchange):
        """Write the held events of a response that has become due."""
        events, exchange.held_events = exchange.held_events, []
        exchange.forget_held_bytes()
        for event in events:
            self._write(exchange, event)
        if not exchange.is_congested:
            self._notify_writable()

    def _notify_writable(self):
        """Let the response that is due continue."""
        if self.pipeline and self.pipeline[0].on_writable is not None:
            self.pipeline[0].on_writable()

    def _is_final_response(self, exchange):
        """Return True for the last response before the connection closes.

        During a stop, or if the application asks for it, this is a response with no
        request behind it. It is decided when the response is written: while it is
        held, further requests may arrive and be dispatched, which the close would cut.
        """
        is_newest = self.pipeline[-1] is exchange and not self._rejection
        may_close = self.server.is_stopping or exchange.closes_connection
        if not may_close or not is_newest:
            return False
        return not exchange.is_complete or self._is_input_empty

    def finish_response(self, exchange):
        """Continue with the next request, or close the connection."""
        if not exchange.is_due:
            return
        while self.pipeline and self.pipeline[0].is_done and self.stream.is_open:
            done = self.pipeline.popleft()
            done.forget_head()
            is_body_incomplete = not done.is_complete
            if done.parser.our_state is h11.MUST_CLOSE or is_body_incomplete:
                self._close()
                return
            if self.pipeline:
                self._write_held(self.pipeline[0])
        if not self.stream.is_open:
            return
        if not self.pipeline and self._receiving is None:
            if self._is_input_ended:
                self._close()
                return
            self._set_idle_deadline()
        self._dispatch_ready()
        self._update_reading()
        self._process_events()

    def _close(self):
        self._is_input_ended = True
        self.stream.write(self._rejection)
        self._rejection = b""
        self.stream.close()

    @property
    def _is_idle(self):
        is_receiving = self._receiving is not None or not self._is_input_empty
        return not self.pipeline and not is_receiving

    def time_out(self):
        """Close the connection after a timeout, with status 408 if not idle.

        Input is read first: in a process that was suspended it may have waited longer
        than the timeout.
        """
        if not self._is_waiting:
            self.stream.handle_read()
        if not self.stream.is_open or self.server.clock() < self.deadline_s:
            return
        if self._is_idle:
            self._close()
        else:
            self.reject(408, "the request took too long to arrive")

    def close_soon_if_idle(self):
        """Shorten the idle timeout; a request that arrives before it is handled."""
        if self._is_idle:
            self._set_idle_deadline()

    def _set_idle_deadline(self):
        if self.server.is_stopping:
            self.set_deadline(STOP_IDLE_DELAY_S)
        else:
            self.set_deadline(self.server.limits().idle_timeout_s)

    @property
    def may_make_room(self):
        """True if closing the connection loses no request that is complete."""
        return not any(exchange.is_complete for exchange in self.pipeline)

    def reject(self, status, detail, reason=""):
        """Respond to the current request with an error and close.

        The error is sent behind the responses to earlier requests.
        """
        self.set_deadline(None)
        exchange, self._receiving = self._receiving, None
        self._is_input_ended = True
        self._intake.claim = None
        if exchange is not None:
            exchange.is_done = True
            exchange.release_body()
            exchange.forget_head()
            if exchange in self.pipeline:
                self.pipeline.remove(exchange)
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            retry_s = 1 + exchange.request_id % MAX_RETRY_AFTER_S if exchange else 1
            self._rejection = encode_rejection(
                self._parser, status, detail, reason, retry_s
            )
        elif self.pipeline or (exchange is not None and exchange.is_started):
            self.stream.abort()
            return
        if self.pipeline:
            self._update_reading()
        else:
            self._close()

    def _new_parser(self):
        head_bytes = self.server.limits().head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)

    def set_deadline(self, seconds):
        """Time out after so many seconds, or never with None."""
        limit_s = float("inf") if seconds is None else seconds
        self.deadline_s = self.server.clock() + limit_s
