"""One non-blocking TCP connection."""

import socket

__all__ = ["READ_BYTES", "Stream"]

READ_BYTES = 64 * 1024
# Send buffers up to this size count as usual; when memory is short, the limit falls.
WRITE_HIGH_WATER_BYTES, MIN_HIGH_WATER_BYTES = 256 * 1024, 16 * 1024


class Stream:
    """One TCP connection.

    The owner sets the ``on_`` callbacks; the hub calls them.

    Attributes:
        on_data: Called with the bytes read.
        on_closed: Called once, without arguments, when the stream closes.
        on_connected: Called without arguments when an outgoing connection is
            established.
        on_drained: Called without arguments when the send buffer becomes empty.
        was_reset: True after a socket error or a failed connect.
        peer: Address ``host:port`` of the other side of an accepted connection.
        read_bytes: Maximum number of bytes read at a time.
        written_s: Time at which bytes from the send buffer were last accepted.
    """

    def __init__(self, hub, sock, *, connecting=False, peer=""):
        self.hub = hub
        self.sock = sock
        self.peer = peer
        self.is_open = True
        self.is_connecting = connecting
        self.on_data = self.on_closed = self.on_connected = self.on_drained = None
        self._buffer = bytearray()
        self.was_reset = False
        self._closing = False
        self._paused = False
        self.read_bytes = READ_BYTES
        self.written_s = 0.0

    @property
    def is_paused(self):
        return self._paused

    @property
    def buffered_bytes(self):
        """Number of bytes in the send buffer."""
        return len(self._buffer)

    @property
    def is_congested(self):
        """True while the send buffer is above the high-water mark."""
        size = len(self._buffer)
        if size <= MIN_HIGH_WATER_BYTES:
            return False
        return size > self.hub.budget.buffer_share * WRITE_HIGH_WATER_BYTES

    @property
    def has_peer_closed(self):
        """True if the peer has closed its side and all input before that was read."""
        try:
            return self.is_open and not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def write(self, data):
        """Send bytes, or buffer those that the socket does not accept yet."""
        if not self.is_open or not data:
            return
        sent = 0
        if not self._buffer and not self.is_connecting:
            sent = self._send(data)
        if self.is_open and sent < len(data):
            if not self._buffer:
                self.written_s = self.hub.clock()
                self.hub.watch_writes(self, True)
            self._buffer += memoryview(data)[sent:]
            self.hub.budget.hold(len(data) - sent)

    def close(self):
        """Close once the send buffer is empty."""
        self._closing = True
        if self.is_open and not self._buffer:
            self._shut_down()

    def abort(self):
        """Close immediately and discard unsent bytes."""
        if self.is_open:
            self.is_open = False
            self.hub.unregister(self)
            self.sock.close()
            self._forget_sent(len(self._buffer))
            if self.on_closed is not None:
                self.on_closed()

    def _shut_down(self):
        """Shut down the sending side; the hub discards further input."""
        self.is_open = False
        self.hub.linger(self)
        if self.on_closed is not None:
            self.on_closed()

    def pause(self):
        """Stop reading, which applies backpressure to the sender."""
        if self.is_open and not self._paused:
            self._paused = True
            self.hub.watch_reads(self, False)

    def resume(self):
        """Resume reading after :meth:`pause`."""
        if self.is_open and self._paused:
            self._paused = False
            self.hub.watch_reads(self, True)

    def call_soon(self, function):
        """Call a function once the other connections had their turn."""
        self.hub.call_soon(function)

    def notify_writable(self):
        """Call ``on_drained`` in the next round if the send buffer is empty."""
        if self.is_open:
            self.hub.watch_writes(self, True)

    def handle_read(self):
        """Read once; return True if any bytes were received."""
        try:
            data = self.sock.recv(self.read_bytes)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.was_reset = True
            data = b""
        if not data:
            self.abort()
        elif self.on_data is not None:
            self.on_data(data)
        return bool(data)

    def handle_write(self):
        if self.is_connecting:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.was_reset = True
                self.abort()
                return
            self.is_connecting = False
            if self.on_connected is not None:
                self.on_connected()
        if self._buffer:
            self._forget_sent(self._send(self._buffer))
        if self.is_open and not self._buffer:
            self.hub.watch_writes(self, False)
            if self._closing:
                self._shut_down()
            elif self.on_drained is not None:
                self.on_drained()

    def _forget_sent(self, count):
        """Remove bytes from the send buffer."""
        if count:
            self.written_s = self.hub.clock()
            del self._buffer[:count]
            self.hub.budget.hold(-count)

    def _send(self, data):
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self.was_reset = True
            self.abort()
            return 0
