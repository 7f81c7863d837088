"""HTTP/1.1 server for callers, backend servers and operators, based on h11.

The parser of ``circuits.web`` accepts requests with conflicting framing headers,
buffers bodies of any size and drops pipelined requests, so only the metrics
address uses it; see docs/design/http.md.
"""

import itertools

from snipebay_model.plan import RequestLimits
from snipebay_model.units import HEAD_LIMIT_BYTES

from snipebay_node.body_budget import BodyBudget
from snipebay_node.http_connection import (
    BODY_TIMEOUT_S,
    STOP_IDLE_DELAY_S,
    HttpConnection,
)

__all__ = ["BODY_TIMEOUT_S", "STOP_IDLE_DELAY_S", "HttpServer"]

# A connection that reads nothing for this long may be closed when memory is short.
READ_STALL_S = 1.0
DEFAULT_LIMITS = RequestLimits(head_bytes=HEAD_LIMIT_BYTES)


class HttpServer:
    """Accepts connections and passes complete requests to an application.

    Args:
        app: Has ``check_head(exchange)``, which sets the body limit or responds
            immediately, and ``handle(exchange)``.
        clock: Function returning the time in seconds.
        limits: Function returning the :class:`RequestLimits` in force.
        on_response: Called with the exchange, its status and the problem detail
            when a response starts.
        log_index: Function returning the log index that this instance has applied.
        budget: :class:`BodyBudget` of the process, without a limit by default.
        deadline_header: Name of the header with the caller's remaining time in ms.

    Attributes:
        known_index: That index when no connection waited to be accepted, which is a
            lower bound for connections that are accepted later.
    """

    def __init__(
        self,
        app,
        clock,
        limits=lambda: DEFAULT_LIMITS,
        on_response=None,
        log_index=lambda: -1,
        budget=None,
        deadline_header="",
    ):
        self.app = app
        self.clock = clock
        self.limits = limits
        self.on_response = on_response
        self.log_index = log_index
        self.budget = budget or BodyBudget()
        self.deadline_header = deadline_header
        self.known_index = log_index()
        self._admits_soon = False
        self.connections = set()
        self.is_stopping = False
        self._ids = itertools.count(1)

    def accept(self, stream):
        """Start serving HTTP on a new stream."""
        self.connections.add(HttpConnection(self, stream))

    def note_all_accepted(self):
        """Update the known index; no connection must be waiting to be accepted."""
        self.known_index = self.log_index()

    def next_request_id(self):
        return next(self._ids)

    def tick(self, now_s):
        """Time out connections that are idle or too slow in sending a request."""
        for connection in list(self.connections):
            if now_s >= connection.deadline_s:
                connection.time_out()
        self.admit_waiting()
        for claim, reason in self.budget.overdue(now_s):
            claim.owner.give_up(claim, reason)
        if self.budget.free_bytes < 0:
            self._close_slow_readers(now_s)

    def release(self, claim, stream):
        """Free the room of a body, and admit those that wait for it."""
        self.budget.release(claim)
        if self.budget.waiting_count and not self._admits_soon:
            self._admits_soon = True
            stream.call_soon(self.admit_waiting)

    def admit_waiting(self):
        """Continue with the bodies that have room now."""
        self._admits_soon = False
        if self.budget.waiting_count:
            for claim in self.budget.admit(self.clock()):
                claim.owner.on_admitted(claim)

    def _close_slow_readers(self, now_s):
        """Close the connections that have read nothing for longest."""
        stalled = [
            connection.stream
            for connection in self.connections
            if connection.stream.buffered_bytes
            and now_s - connection.stream.written_s >= READ_STALL_S
        ]
        for stream in sorted(stalled, key=lambda stream: stream.written_s):
            if self.budget.free_bytes >= 0:
                return
            self.budget.rejected["not_read"] += 1
            stream.abort()

    def stop(self):
        """Let each connection close after its last response, idle ones soon."""
        if self.is_stopping:
            return
        self.is_stopping = True
        for connection in self.connections:
            connection.close_soon_if_idle()
