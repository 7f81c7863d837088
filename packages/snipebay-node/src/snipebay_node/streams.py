"""TCP connections on the circuits poller, without a thread or a blocking call."""

import errno
import socket
import time

from circuits import BaseComponent, handler

__all__ = ["Stream", "StreamHub"]

READ_BYTES = 64 * 1024
WRITE_HIGH_BYTES = 256 * 1024
BACKLOG = 1_024
# Time in which bytes still on their way to a closed connection are read off, so
# that the answer before the close is not lost to a reset.
LINGER_S = 1.0
# Time after which unacknowledged bytes end a connection (RFC 5482).
SILENT_PEER_MS = 3_000


class Stream:
    """One TCP connection.

    Set the ``on_`` attributes; they are called from the hub.

    Attributes:
        on_data: Function of bytes read.
        on_closed: Function without arguments, called once.
        on_connected: Function without arguments, for outgoing connections.
        on_drained: Function without arguments, when few bytes wait to be sent.
        was_reset: True when the other side broke the connection off.
    """

    def __init__(self, hub, sock, *, connecting=False):
        self.hub = hub
        self.sock = sock
        self.is_open = True
        self.is_connecting = connecting
        self.on_data = self.on_closed = self.on_connected = self.on_drained = None
        self._buffer = bytearray()
        self.was_reset = False
        self._closing = False
        self._paused = False

    @property
    def buffered_bytes(self):
        """Bytes that wait to be sent."""
        return len(self._buffer)

    @property
    def is_congested(self):
        """True when the receiver should be given time."""
        return len(self._buffer) > WRITE_HIGH_BYTES

    def write(self, data):
        """Send bytes, now or when the socket takes them."""
        if not self.is_open or not data:
            return
        sent = 0
        if not self._buffer and not self.is_connecting:
            sent = self._send(data)
        if self.is_open and sent < len(data):
            if not self._buffer:
                self.hub.watch_writes(self, True)
            self._buffer += memoryview(data)[sent:]

    def close(self):
        """Close after everything has been sent."""
        self._closing = True
        if self.is_open and not self._buffer:
            self._end_writing()

    def abort(self):
        """Close at once."""
        if self.is_open:
            self.is_open = False
            self.hub.forget(self)
            self.sock.close()
            if self.on_closed is not None:
                self.on_closed()

    def _end_writing(self):
        """Tell the other side that no more comes, and read off what it sends."""
        self.is_open = False
        self.hub.linger(self)
        if self.on_closed is not None:
            self.on_closed()

    def pause(self):
        """Stop reading, so that the sender is slowed down."""
        if self.is_open and not self._paused:
            self._paused = True
            self.hub.watch_reads(self, False)

    def resume(self):
        """Read again."""
        if self.is_open and self._paused:
            self._paused = False
            self.hub.watch_reads(self, True)

    def handle_read(self):
        """Return True after taking in bytes, False when there are none."""
        try:
            data = self.sock.recv(READ_BYTES)
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
            del self._buffer[: self._send(self._buffer)]
        if self.is_open and not self._buffer:
            self.hub.watch_writes(self, False)
            if self._closing:
                self._end_writing()
            elif self.on_drained is not None:
                self.on_drained()

    def _send(self, data):
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self.was_reset = True
            self.abort()
            return 0


class StreamHub(BaseComponent):
    """All TCP connections of the process.

    The clients of ``circuits.net`` block while they connect, which would hold
    up every request when one backend server does not answer.
    """

    channel = "streams"

    def __init__(self, poller):
        super().__init__()
        self.poller = poller
        self._streams = {}
        self._listeners = {}
        self._lingering = {}

    def listen(self, address, on_accept):
        """Accept connections; ``on_accept`` takes each new stream."""
        sock = socket.create_server(_pair(address), backlog=BACKLOG)
        sock.setblocking(False)
        self._listeners[sock] = on_accept
        self.poller.addReader(self, sock)
        return sock.getsockname()

    def stop_listening(self):
        """Accept no more connections."""
        for sock in self._listeners:
            self.poller.discard(sock)
            sock.close()
        self._listeners.clear()

    def connect(self, address):
        """Return a stream that is being connected."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        _tune(sock)
        code = sock.connect_ex(_pair(address))
        stream = Stream(self, sock, connecting=True)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            stream.is_open = False
            return stream
        self._streams[sock] = stream
        self.poller.addReader(self, sock)
        self.poller.addWriter(self, sock)
        return stream

    def watch_writes(self, stream, wanted):
        """Hear from the poller, or no longer, when a socket takes bytes."""
        if wanted:
            if not self.poller.isWriting(stream.sock):
                self.poller.addWriter(self, stream.sock)
        elif self.poller.isWriting(stream.sock):
            self.poller.removeWriter(stream.sock)

    def watch_reads(self, stream, wanted):
        """Hear from the poller, or no longer, when a socket has bytes."""
        if wanted:
            self.poller.addReader(self, stream.sock)
        else:
            self.poller.removeReader(stream.sock)

    def linger(self, stream):
        """Shut a stream's sending side and read off what still comes."""
        self._streams.pop(stream.sock, None)
        try:
            stream.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._drop(stream.sock)
            return
        self.watch_writes(stream, False)
        self.poller.addReader(self, stream.sock)
        self._lingering[stream.sock] = time.monotonic() + LINGER_S

    def tick(self, now_s):
        """Close connections that have lingered long enough."""
        for sock, end_s in list(self._lingering.items()):
            if now_s >= end_s:
                self._drop(sock)

    def _drop(self, sock):
        self._lingering.pop(sock, None)
        self.poller.discard(sock)
        sock.close()

    def _read_off(self, sock):
        try:
            if sock.recv(READ_BYTES):
                return
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            # The other side has closed too; there is nothing left to protect.
            pass
        self._drop(sock)

    def forget(self, stream):
        """Take a stream off the poller."""
        self._streams.pop(stream.sock, None)
        self.poller.discard(stream.sock)

    @handler("_read")
    def _on_read(self, sock):
        if sock in self._listeners:
            self._accept(sock)
        elif sock in self._streams:
            self._streams[sock].handle_read()
        elif sock in self._lingering:
            self._read_off(sock)

    @handler("_write")
    def _on_write(self, sock):
        if sock in self._streams:
            self._streams[sock].handle_write()

    @handler("_disconnect", "_error")
    def _on_disconnect(self, sock, *args):
        stream = self._streams.get(sock)
        if stream is not None:
            # Bytes may wait in front of the end.
            while stream.is_open and stream.handle_read():
                pass
            stream.abort()
        elif sock in self._lingering:
            self._drop(sock)

    def _accept(self, listener):
        for _ in range(BACKLOG):
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            _tune(sock)
            stream = Stream(self, sock)
            self._streams[sock] = stream
            self.poller.addReader(self, sock)
            self._listeners[listener](stream)


def _tune(sock):
    """Send small writes at once, and notice a peer that has fallen silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_PEER_MS)


def _pair(address):
    """Return host and port of an address ``host:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
