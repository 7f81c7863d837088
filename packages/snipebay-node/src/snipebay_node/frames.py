"""Messages between our processes as frames on TCP connections."""

import struct

import structlog
from snipebay_model.codec import CodecError, Envelope, decode, encode
from snipebay_model.units import FRAME_LIMIT_BYTES

__all__ = ["FrameBus"]

_LENGTH = struct.Struct("<I")
ACK = b"\x01"
# Silence after which a connection with unconfirmed frames is given up: several
# round trips between regions, and below an election timeout.
ACK_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.8
RECONNECT_S = 0.1
# Frames beyond this wait for a receiver that takes none, and are dropped.
BACKLOG_BYTES = 8 * 1024 * 1024

log = structlog.get_logger(__name__)


class FrameBus:
    """Sends and receives messages; loss is for the cores to deal with.

    Each receiver confirms what it has read by a byte, so that a connection
    that has gone silent is noticed and replaced.

    Args:
        hub: Makes and accepts the connections.
        address: ``host:port`` to listen on.
        on_message: Function of sender and body.
        counters: Counts sent, lost and bad messages.
        clock: Function returning the steady time in seconds.
    """

    def __init__(self, hub, address, on_message, counters, clock):
        self.hub = hub
        self.clock = clock
        self.counters = counters
        self._on_message = on_message
        self._links = {}
        hub.listen(address, lambda stream: _Inbound(self, stream))

    def send(self, address, sender, body):
        """Send a message, or drop it when the receiver takes none."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Outbound(self, address)
        link.send(type(body).__name__, encode(Envelope(sender, body)))

    def tick(self, now_s):
        """Give up connections that have gone silent."""
        for link in self._links.values():
            link.tick(now_s)

    def close_except(self, addresses):
        """Close the connections to all other addresses, whose instances are gone."""
        for address in self._links.keys() - addresses:
            self._links.pop(address).close()

    def close(self):
        """Close all connections that we made."""
        self.close_except(set())

    def deliver(self, frame):
        """Hand on what one frame holds."""
        try:
            envelope = decode(frame)
        except CodecError as exc:
            self.counters.bad()
            log.warning("bad message refused", error=str(exc), size=len(frame))
            return
        self._on_message(envelope.sender, envelope.body)


class _Outbound:
    """The connection on which we send to one address."""

    def __init__(self, bus, address):
        self.bus = bus
        self.address = address
        self._stream = None
        self._since_s = 0.0
        self._unconfirmed_s = None
        self._retry_s = 0.0
        self._lost = False

    def send(self, kind, frame):
        now_s = self.bus.clock()
        if self._stream is None and now_s >= self._retry_s:
            self._connect(now_s)
        stream = self._stream
        if stream is None or stream.buffered_bytes > BACKLOG_BYTES:
            self.bus.counters.lost(kind)
            return
        if self._unconfirmed_s is None:
            self._unconfirmed_s = now_s
        self.bus.counters.sent(kind, len(frame))
        stream.write(_LENGTH.pack(len(frame)) + frame)

    def tick(self, now_s):
        stream = self._stream
        if stream is None:
            return
        if stream.is_connecting:
            is_silent = now_s - self._since_s > CONNECT_TIMEOUT_S
        else:
            since_s = self._unconfirmed_s
            is_silent = since_s is not None and now_s - since_s > ACK_TIMEOUT_S
        if is_silent:
            stream.abort()

    def close(self):
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.on_closed = None
            stream.abort()

    def _connect(self, now_s):
        stream = self.bus.hub.connect(self.address)
        self._since_s = now_s
        if not stream.is_open:
            self._retry_s = now_s + RECONNECT_S
            return
        self._stream = stream
        self._unconfirmed_s = None
        stream.on_data = self._on_ack
        stream.on_closed = self._on_closed
        stream.on_connected = self._on_connected

    def _on_connected(self):
        if self._lost:
            self._lost = False
            log.info("connection regained", peer=self.address)
        if self._unconfirmed_s is not None:
            self._unconfirmed_s = self.bus.clock()

    def _on_ack(self, data):
        # Frames sent since the last confirmation are confirmed by the next one.
        self._unconfirmed_s = None

    def _on_closed(self):
        if not self._lost:
            self._lost = True
            log.warning("connection lost", peer=self.address)
        self._stream = None
        self._unconfirmed_s = None
        self._retry_s = self.bus.clock() + RECONNECT_S


class _Inbound:
    """A connection on which another process sends to us."""

    def __init__(self, bus, stream):
        self.bus = bus
        self.stream = stream
        self._buffer = bytearray()
        stream.on_data = self._on_data

    def _on_data(self, data):
        self._buffer += data
        start, end = 0, len(self._buffer)
        while end - start >= _LENGTH.size and self.stream.is_open:
            (size,) = _LENGTH.unpack_from(self._buffer, start)
            if size > FRAME_LIMIT_BYTES:
                log.warning("frame over the limit refused", size=size)
                self.stream.abort()
                return
            if end - start < _LENGTH.size + size:
                break
            start += _LENGTH.size
            self.bus.deliver(bytes(self._buffer[start : start + size]))
            start += size
        del self._buffer[:start]
        self.stream.write(ACK)
