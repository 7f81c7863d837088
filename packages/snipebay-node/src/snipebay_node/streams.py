"""Non-blocking TCP connections on the circuits poller, without threads."""

import errno
import ipaddress
import os
import socket
import time

import structlog
from circuits import BaseComponent, handler

__all__ = ["Stream", "StreamHub"]

READ_BYTES = 64 * 1024
WRITE_HIGH_WATER_BYTES = 256 * 1024
LISTEN_BACKLOG = 1_024
# After a close, input is still read and discarded for this long. Closing a socket
# with unread input sends a reset, which can make the peer lose the response.
LINGER_TIMEOUT_S = 1.0
# The kernel closes a connection when sent data stays unacknowledged for this long
# (RFC 5482).
TCP_USER_TIMEOUT_MS = 3_000

log = structlog.get_logger(__name__)


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

    @property
    def buffered_bytes(self):
        """Number of bytes in the send buffer."""
        return len(self._buffer)

    @property
    def is_congested(self):
        """True while the send buffer is above the high-water mark."""
        return len(self._buffer) > WRITE_HIGH_WATER_BYTES

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
                self.hub.watch_writes(self, True)
            self._buffer += memoryview(data)[sent:]

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

    def handle_read(self):
        """Read once; return True if any bytes were received."""
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
                self._shut_down()
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
    """Opens, accepts and polls the TCP connections of the process.

    It replaces the clients of ``circuits.net``, which block while connecting: one
    unresponsive backend server would delay every request.

    Args:
        poller: Poller of the process.
        clock: Function returning the time in seconds, as passed to :meth:`tick`.
    """

    channel = "streams"

    def __init__(self, poller, clock=time.monotonic):
        super().__init__()
        self.poller = poller
        self.clock = clock
        self._streams = {}
        self._listeners = {}
        self._lingering = {}
        self._can_accept = True

    def listen(self, address, on_accept):
        """Listen on an address and call ``on_accept`` with each new stream.

        Returns:
            The socket address that was bound.
        """
        sock = socket.create_server(_split_address(address), backlog=LISTEN_BACKLOG)
        sock.setblocking(False)
        self._listeners[sock] = on_accept
        self.poller.addReader(self, sock)
        return sock.getsockname()

    def stop_listening(self):
        """Close all listening sockets."""
        for sock in self._listeners:
            self.poller.discard(sock)
            sock.close()
        self._listeners.clear()

    def connect(self, address):
        """Start connecting and return the stream.

        The stream is closed if the connection fails at once, also because the address
        can't be used.
        """
        stream = Stream(self, None, connecting=True)
        try:
            stream.sock = sock = _start_connecting(address)
        except (OSError, OverflowError, ValueError) as exc:
            log.warning("connection not started", address=address, error=str(exc))
            stream.is_open = False
            stream.was_reset = True
            return stream
        self._streams[sock] = stream
        self.poller.addReader(self, sock)
        self.poller.addWriter(self, sock)
        return stream

    def watch_writes(self, stream, is_enabled):
        """Enable or disable polling of a stream for writability."""
        if is_enabled:
            if not self.poller.isWriting(stream.sock):
                self.poller.addWriter(self, stream.sock)
        elif self.poller.isWriting(stream.sock):
            self.poller.removeWriter(stream.sock)

    def watch_reads(self, stream, is_enabled):
        """Enable or disable polling of a stream for readability."""
        if is_enabled:
            self.poller.addReader(self, stream.sock)
        else:
            self.poller.removeReader(stream.sock)

    def linger(self, stream):
        """Shut down a stream's sending side and discard its input for a while."""
        self._streams.pop(stream.sock, None)
        try:
            stream.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close_lingering(stream.sock)
            return
        self.watch_writes(stream, False)
        self.poller.addReader(self, stream.sock)
        self._lingering[stream.sock] = self.clock() + LINGER_TIMEOUT_S

    def accept_waiting(self):
        """Accept connections that wait in the kernel; return True if none is left."""
        results = [self._accept(listener) for listener in list(self._listeners)]
        return all(results)

    def tick(self, now_s):
        """Close lingering connections whose timeout has expired."""
        for sock, deadline_s in list(self._lingering.items()):
            if now_s >= deadline_s:
                self._close_lingering(sock)

    def _close_lingering(self, sock):
        self._lingering.pop(sock, None)
        self.poller.discard(sock)
        sock.close()

    def _discard_input(self, sock):
        try:
            if sock.recv(READ_BYTES):
                return
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            # The peer has closed or reset too, so nothing can be lost any more.
            pass
        self._close_lingering(sock)

    def unregister(self, stream):
        """Remove a stream from the hub and the poller."""
        self._streams.pop(stream.sock, None)
        self.poller.discard(stream.sock)

    @handler("_read")
    def _on_read(self, sock):
        if sock in self._listeners:
            self._accept(sock)
        elif sock in self._streams:
            self._streams[sock].handle_read()
        elif sock in self._lingering:
            self._discard_input(sock)

    @handler("_write")
    def _on_write(self, sock):
        if sock in self._streams:
            self._streams[sock].handle_write()

    @handler("_disconnect", "_error")
    def _on_disconnect(self, sock, *args):
        stream = self._streams.get(sock)
        if stream is not None:
            # Received bytes may still be unread before the end of the stream.
            while stream.is_open and stream.handle_read():
                pass
            stream.abort()
        elif sock in self._lingering:
            self._close_lingering(sock)

    def _accept(self, listener):
        """Accept waiting connections; return True if none is left."""
        for _ in range(LISTEN_BACKLOG):
            try:
                sock, (host, port, *_) = listener.accept()
            except BlockingIOError:
                self._can_accept = True
                return True
            except OSError as exc:
                # Without descriptors this is repeated until some are free.
                if self._can_accept:
                    log.warning("connections not accepted", error=str(exc))
                self._can_accept = False
                return False
            sock.setblocking(False)
            _set_socket_options(sock)
            stream = Stream(self, sock, peer=f"{host}:{port}")
            self._streams[sock] = stream
            self.poller.addReader(self, sock)
            self._listeners[listener](stream)
        return False


def _start_connecting(address):
    """Return a socket that connects to an address.

    Raises:
        OSError: If the connection fails at once.
        OverflowError: If the port is out of range.
        ValueError: If the address is not an IP number and a port.
    """
    host, port = _split_address(address)
    is_v6 = ipaddress.ip_address(host).version == 6
    sock = socket.socket(
        socket.AF_INET6 if is_v6 else socket.AF_INET, socket.SOCK_STREAM
    )
    try:
        sock.setblocking(False)
        _set_socket_options(sock)
        error_code = sock.connect_ex((host, port))
        if error_code not in (0, errno.EINPROGRESS):
            raise OSError(error_code, os.strerror(error_code))
    except (OSError, OverflowError):
        sock.close()
        raise
    return sock


def _set_socket_options(sock):
    """Disable Nagle's algorithm and limit how long data stays unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def _split_address(address):
    """Return the host and the port of an address ``host:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
