"""Messages between instances as length-prefixed frames on TCP connections."""

import struct

import structlog
from snipebay_model.codec import CodecError, Envelope, decode, encode
from snipebay_model.messages import RenewReply
from snipebay_model.units import FRAME_LIMIT_BYTES
from snipebay_policy.connect_attempts import ConnectAttempts

from snipebay_node.frame_compression import (
    CompressionError,
    FrameCompressor,
    FrameDecompressor,
)

__all__ = ["FrameBus"]

_LENGTH = struct.Struct("<I")
# Marks a compressed frame in its length. A receiver that accepts these says so by its
# acknowledgement; before the first one, frames are sent as they are.
COMPRESSED = 1 << 31
ACK = b"\x02"
# A connection with unacknowledged frames is closed after this long without an
# acknowledgement: several round trips between regions, below an election timeout.
ACK_TIMEOUT_S = 0.8
# Messages are dropped while a receiver leaves more than this unread.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024

log = structlog.get_logger(__name__)


class FrameBus:
    """Sends and receives messages without a delivery guarantee.

    Lost messages are handled by the protocol cores. Each receiver acknowledges
    what it has read with one byte, so that an unresponsive connection is detected
    and replaced.

    Args:
        hub: Opens and accepts the connections.
        address: ``host:port`` to listen on.
        on_message: Called with the sender and the message body.
        counters: Counts sent, dropped and undecodable messages.
        clock: Function returning the monotonic time in seconds.
    """

    def __init__(self, hub, address, on_message, counters, clock):
        self.hub = hub
        self.clock = clock
        self.counters = counters
        self._on_message = on_message
        self._connections = {}
        hub.listen(address, lambda stream: _IncomingConnection(self, stream))

    def send(self, address, sender, body):
        """Send a message, or drop it if the receiver is unreachable or too slow."""
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connections[address] = _OutgoingConnection(self, address)
        is_packed = isinstance(body, RenewReply) and bool(body.packed_delta)
        frame = encode(Envelope(sender, body))
        connection.send(type(body).__name__, frame, is_packed)

    def tick(self, now_s):
        """Close connections that are unresponsive or fail to open in time."""
        for connection in self._connections.values():
            connection.tick(now_s)

    def close_except(self, addresses):
        """Close connections to all but ``addresses``; the other instances have left."""
        for address in self._connections.keys() - addresses:
            self._connections.pop(address).close()

    def close(self):
        """Close all outgoing connections."""
        self.close_except(set())

    def deliver(self, frame):
        """Decode one frame and pass its message on."""
        try:
            envelope = decode(frame)
        except CodecError as exc:
            self.counters.message_undecodable()
            log.warning("undecodable message dropped", error=str(exc), size=len(frame))
            return
        self._on_message(envelope.sender, envelope.body)


class _OutgoingConnection:
    """The connection for sending to one address, reopened as needed."""

    def __init__(self, bus, address):
        self.bus = bus
        self.address = address
        self._stream = None
        self._connect_started_s = 0.0
        self._unacked_since_s = None
        self._attempts = ConnectAttempts()
        self._is_disconnected = False
        self._compressor = None

    def send(self, kind, frame, is_packed):
        now_s = self.bus.clock()
        if self._stream is None and now_s >= self._attempts.next_s:
            self._connect(now_s)
        stream = self._stream
        if stream is None or stream.buffered_bytes > MAX_BUFFERED_BYTES:
            self.bus.counters.message_dropped(kind)
            return
        if self._unacked_since_s is None:
            self._unacked_since_s = now_s
        mark = 0
        if self._compressor is not None and not is_packed:
            frame, mark = self._compressor.compress(frame), COMPRESSED
        self.bus.counters.message_sent(kind, len(frame))
        stream.write(_LENGTH.pack(len(frame) | mark) + frame)

    def tick(self, now_s):
        stream = self._stream
        if stream is None:
            return
        if stream.is_connecting:
            if now_s - self._connect_started_s > self._attempts.timeout_s:
                self._attempts.record_timeout()
                stream.abort()
            return
        unacked_since_s = self._unacked_since_s
        if unacked_since_s is not None and now_s - unacked_since_s > ACK_TIMEOUT_S:
            stream.abort()

    def close(self):
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.on_closed = None
            stream.abort()

    def _connect(self, now_s):
        stream = self.bus.hub.connect(self.address)
        self._connect_started_s = now_s
        if not stream.is_open:
            self._attempts.record_end(now_s)
            return
        self._stream = stream
        self._unacked_since_s = None
        self._compressor = None
        stream.on_data = self._on_ack
        stream.on_closed = self._on_closed
        stream.on_connected = self._on_connected

    def _on_connected(self):
        self._attempts.record_connected()
        if self._is_disconnected:
            self._is_disconnected = False
            log.info("connection regained", peer=self.address)
        if self._unacked_since_s is not None:
            self._unacked_since_s = self.bus.clock()

    def _on_ack(self, data):
        # Frames that the receiver had not read yet get another acknowledgement.
        self._unacked_since_s = None
        if self._compressor is None and ACK in data:
            self._compressor = FrameCompressor()

    def _on_closed(self):
        if not self._is_disconnected:
            self._is_disconnected = True
            log.warning("connection lost", peer=self.address)
        self._stream = None
        self._unacked_since_s = None
        self._attempts.record_end(self.bus.clock())


class _IncomingConnection:
    """A connection on which another process sends messages to this one."""

    def __init__(self, bus, stream):
        self.bus = bus
        self.stream = stream
        self._buffer = bytearray()
        self._decompressor = None
        stream.on_data = self._on_data

    def _on_data(self, data):
        self._buffer += data
        start, end = 0, len(self._buffer)
        try:
            while end - start >= _LENGTH.size and self.stream.is_open:
                (word,) = _LENGTH.unpack_from(self._buffer, start)
                size, is_compressed = word & ~COMPRESSED, word & COMPRESSED
                if size > FRAME_LIMIT_BYTES:
                    self._abort(f"a frame of {size!r} bytes is too long")
                    return
                if end - start < _LENGTH.size + size:
                    break
                first = start + _LENGTH.size
                # A frame whose handling fails must not be handled again.
                start = first + size
                frame = bytes(self._buffer[first:start])
                self.bus.deliver(self._decompress(frame) if is_compressed else frame)
        except CompressionError as exc:
            self._abort(str(exc))
            return
        finally:
            del self._buffer[:start]
        self.stream.write(ACK)

    def _decompress(self, frame):
        if self._decompressor is None:
            self._decompressor = FrameDecompressor(FRAME_LIMIT_BYTES)
        return self._decompressor.decompress(frame)

    def _abort(self, error):
        """Close a connection whose frames can't be told apart any more."""
        self.bus.counters.message_undecodable()
        log.warning("unusable frame; closing the connection", error=error)
        self.stream.abort()
