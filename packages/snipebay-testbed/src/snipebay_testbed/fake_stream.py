"""Fakes of TCP streams and their hub, to test connection code without sockets."""

__all__ = ["FakeHub", "FakeStream"]


class FakeStream:
    """Fake of ``snipebay_node.streams.Stream``; records the bytes written.

    Tests call the ``on_...`` callbacks to deliver input and events.

    Attributes:
        sent: Bytes written so far.
        has_peer_closed: True once the peer has closed its side.
        peer: Address of the other side.
        is_paused: True while its owner does not read.
        read_bytes: Maximum number of bytes that its owner reads at a time.
        written_s: Time at which bytes were last sent.
    """

    def __init__(self, *, connecting=False):
        self.sent = bytearray()
        self.is_open = True
        self.is_connecting = connecting
        self.buffered_bytes = 0
        self.is_congested = False
        self.was_reset = False
        self.has_peer_closed = False
        self.peer = ""
        self.is_paused = False
        self.read_bytes = 64 * 1024
        self.written_s = 0.0
        self.on_data = self.on_closed = self.on_connected = self.on_drained = None

    def write(self, data):
        self.sent += data

    def call_soon(self, function):
        """Call a function at once."""
        function()

    def notify_writable(self):
        """Report at once that the send buffer is empty."""
        self.on_drained()

    def handle_read(self):
        """Return False: no input waits."""
        return False

    def connect(self):
        """Complete the pending connection attempt."""
        self.is_connecting = False
        self.on_connected()

    def close(self):
        self.abort()

    def abort(self):
        if self.is_open:
            self.is_open = False
            if self.on_closed is not None:
                self.on_closed()

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False


class FakeHub:
    """Fake of ``snipebay_node.streams.StreamHub``; creates fake streams.

    Attributes:
        streams: Outgoing streams, in the order of their creation.
        accept: Callback of the last listener, which takes an accepted stream, or None.
    """

    def __init__(self):
        self.streams = []
        self.accept = None

    def listen(self, address, on_accept):
        self.accept = on_accept

    def connect(self, address):
        self.streams.append(FakeStream(connecting=True))
        return self.streams[-1]
