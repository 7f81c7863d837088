"""Non-blocking TCP connections on the circuits poller, without threads."""

import collections
import errno
import ipaddress
import os
import socket
import time

import structlog
from circuits import BaseComponent, Event, handler

from snipebay_node.body_budget import BodyBudget
from snipebay_node.socket_limits import SocketLimits
from snipebay_node.stream import READ_BYTES, Stream

__all__ = ["Stream", "StreamHub"]

# Deferred calls are made for this long before input is polled again.
DEFERRED_ROUND_S = 0.005
LISTEN_BACKLOG = 1_024
# Closed at a time when sockets are short.
MAX_CLOSED_LINGERING = 32
# After a close, input is still read and discarded for this long. Closing a socket
# with unread input sends a reset, which can make the peer lose the response.
LINGER_TIMEOUT_S = 1.0
# The kernel closes a connection when sent data stays unacknowledged for this long
# (RFC 5482).
TCP_USER_TIMEOUT_MS = 3_000

log = structlog.get_logger(__name__)


class _call_deferred(Event):
    """Fired while deferred calls are pending."""


class StreamHub(BaseComponent):
    """Opens, accepts and polls the TCP connections of the process.

    It replaces the clients of ``circuits.net``, which block while connecting: one
    unresponsive backend server would delay every request.

    Args:
        poller: The poller of the process.
        clock: Function returning the time in seconds, as passed to :meth:`tick`.
        budget: :class:`BodyBudget` of the process, without a limit by default.
        limits: :class:`SocketLimits` of the process, without a limit by default.

    Attributes:
        on_crowded: Called without arguments to close connections when a further one
            would exceed the limits.
    """

    channel = "streams"

    def __init__(self, poller, clock=time.monotonic, budget=None, limits=None):
        super().__init__()
        self.poller = poller
        self.clock = clock
        self.budget = budget or BodyBudget()
        self.limits = limits or SocketLimits()
        self.on_crowded = lambda: None
        self._deferred = collections.deque()
        self._streams = {}
        self._listeners = {}
        self._lingering = {}
        self._can_accept = True
        self._is_watching_listeners = True

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

    @property
    def socket_count(self):
        """Number of sockets, including those that only wait for their end."""
        return len(self._streams) + len(self._lingering) + len(self._listeners)

    def call_soon(self, function):
        """Call a function after the events that are pending now."""
        if not self._deferred:
            self.fire(_call_deferred())
        self._deferred.append(function)

    @handler("_call_deferred")
    def _on_call_deferred(self):
        end_s = time.monotonic() + DEFERRED_ROUND_S
        try:
            for _ in range(len(self._deferred)):
                self._deferred.popleft()()
                if time.monotonic() >= end_s:
                    return
        finally:
            if self._deferred:
                self.fire(_call_deferred())

    def connect(self, address):
        """Start connecting and return the stream.

        The stream is closed if the connection fails at once, also because the address
        can't be used.
        """
        if self.socket_count >= self.limits.max_sockets:
            self._make_room()
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
        if not self.poller.isReading(stream.sock):
            # The poller would keep a second entry after the end of the socket.
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
        if not self._is_watching_listeners:
            self._watch_listeners(True)

    def _watch_listeners(self, is_enabled):
        """Poll the listeners, or stop it: without descriptors they stay readable."""
        self._is_watching_listeners = is_enabled
        for listener in self._listeners:
            if is_enabled and not self.poller.isReading(listener):
                self.poller.addReader(self, listener)
            elif not is_enabled and self.poller.isReading(listener):
                self.poller.removeReader(listener)

    def _make_room(self):
        """Close sockets that are no longer needed, then idle connections."""
        for sock in list(self._lingering)[:MAX_CLOSED_LINGERING]:
            self._close_lingering(sock)
        if self.socket_count >= self.limits.max_accepting:
            self.on_crowded()

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
            # It may have been paused after the poll.
            if not self._streams[sock].is_paused:
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
                self.on_crowded()
                self._watch_listeners(False)
                return False
            sock.setblocking(False)
            _set_socket_options(sock)
            stream = Stream(self, sock, peer=f"{host}:{port}")
            self._streams[sock] = stream
            self.poller.addReader(self, sock)
            self._listeners[listener](stream)
            if self.socket_count > self.limits.max_accepting:
                self._make_room()
                if self.socket_count > self.limits.max_accepting:
                    stream.abort()
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
