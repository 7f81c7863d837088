"""Pool of persistent HTTP/1.1 connections to backend servers.

Each connection carries one request at a time, without pipelining.
"""

from snipebay_node.header_names import HeaderNames
from snipebay_node.upstream_connection import (
    CONNECT_TIMEOUT_S,
    MISDIRECTED_REQUEST,
    UpstreamConnection,
    UpstreamRequest,
)

__all__ = [
    "CONNECT_TIMEOUT_S",
    "MISDIRECTED_REQUEST",
    "UpstreamPool",
    "UpstreamRequest",
]

MAX_IDLE_PER_ADDRESS = 8


class UpstreamPool:
    """Sends requests to backend servers and reuses idle connections.

    Args:
        hub: Opens the connections.
        clock: Function returning the time in seconds.
        listener: Has ``may_write(attempt_id)``, ``on_head(attempt_id, status,
            headers)``, ``on_data(attempt_id, data)``, ``on_end(attempt_id,
            status, headers, body)``, ``on_not_run(attempt_id, status,
            headers)`` and ``on_failure(attempt_id, reason)``. Headers are pairs of
            name and value, as bytes.
        header_names: Names of the headers exchanged with backend servers.
        on_connected: Function of address and seconds, called for new connections.
    """

    def __init__(self, hub, clock, listener, header_names=None, on_connected=None):
        self.header_names = header_names or HeaderNames()
        self.hub = hub
        self.clock = clock
        self.listener = listener
        self.on_connected = on_connected or (lambda address, elapsed_s: None)
        self._idle = {}
        self._active = {}
        self._probes = []

    def start(self, req):
        """Send a request on an idle connection, or on a new one."""
        connection = self._pop_idle(req.address)
        if connection is None:
            connection = UpstreamConnection(
                self, self.hub.connect(req.address), req.address
            )
        self._active[req.attempt_id] = connection
        connection.start(req)

    def probe(self, address, on_result):
        """Open a connection without a request, and keep it if that succeeds.

        Args:
            address: Address of a backend server.
            on_result: Function called with True when the connection is established,
                with False when it fails or takes too long.
        """
        connection = UpstreamConnection(self, self.hub.connect(address), address)
        self._probes.append((connection, on_result))

    def cancel(self, attempt_id):
        """Cancel an attempt.

        Its connection is closed, so that a late response cannot be taken for the
        response to another request.
        """
        connection = self._active.pop(attempt_id, None)
        if connection is not None:
            connection.abandon()

    def set_paused(self, attempt_id, paused):
        """Pause or resume reading a response, for backpressure from the caller."""
        connection = self._active.get(attempt_id)
        if connection is not None:
            (connection.stream.pause if paused else connection.stream.resume)()

    def tick(self, now_s):
        """Close connections whose idle or connect timeout has expired."""
        for address, idle in list(self._idle.items()):
            for connection in list(idle):
                if now_s - connection.last_used_s > connection.idle_timeout_s:
                    idle.remove(connection)
                    connection.stream.abort()
            if not idle:
                del self._idle[address]
        for connection in list(self._active.values()):
            is_late = now_s - connection.last_used_s > CONNECT_TIMEOUT_S
            if connection.stream.is_connecting and is_late:
                connection.time_out_connect()
        probes, self._probes = self._probes, []
        for connection, on_result in probes:
            self._check_probe(connection, on_result, now_s)

    def _check_probe(self, connection, on_result, now_s):
        """Report a probe that has ended; keep its connection if it is established."""
        stream = connection.stream
        if stream.is_open and not stream.is_connecting:
            self.add_idle(connection)
            on_result(True)
        elif not stream.is_open or now_s - connection.last_used_s > CONNECT_TIMEOUT_S:
            stream.abort()
            on_result(False)
        else:
            self._probes.append((connection, on_result))

    def close_oldest_idle(self, keep):
        """Close the connections that were unused for longest, except for a number."""
        idle = [row for rows in self._idle.values() for row in rows]
        idle.sort(key=lambda connection: connection.last_used_s)
        for connection in idle[: max(0, len(idle) - keep)]:
            connection.stream.abort()

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in list(idle):
                connection.stream.abort()

    def release(self, attempt_id):
        """Stop tracking an attempt that has ended."""
        self._active.pop(attempt_id, None)

    def add_idle(self, connection):
        """Add a connection to the idle ones, or close it if there are enough."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.stream.abort()
        else:
            idle.append(connection)

    def remove_idle(self, connection):
        """Remove a closed connection from the idle ones."""
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)

    def _pop_idle(self, address):
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if self.clock() - connection.last_used_s <= connection.idle_timeout_s:
                return connection
            connection.stream.abort()
        return None
