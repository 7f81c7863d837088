"""Messages between our processes over pynng push and pull sockets."""

import pynng
import structlog
from circuits import BaseComponent, handler
from snipebay_model.codec import CodecError, Envelope, decode, encode
from snipebay_model.units import FRAME_LIMIT_BYTES

__all__ = ["Bus"]

SEND_BUFFER_MESSAGES = 256
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
RECV_BATCH = 256

log = structlog.get_logger(__name__)


class Bus(BaseComponent):
    """Sends and receives messages; loss is for the cores to deal with.

    Args:
        poller: Poller of the process.
        address: ``host:port`` to listen on.
        on_message: Function of sender and body.
        counters: Counts sent, lost and bad messages.
    """

    channel = "bus"

    def __init__(self, poller, address, on_message, counters):
        super().__init__()
        self._on_message = on_message
        self._counters = counters
        self._peers = {}
        self._pull = pynng.Pull0(
            recv_buffer_size=1_024, recv_max_size=FRAME_LIMIT_BYTES
        )
        self._pull.listen(f"tcp://{address}")
        poller.addReader(self, self._pull.recv_fd)

    def send(self, address, sender, body):
        """Send a message, or drop it when the receiver takes none."""
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            peer.dial(f"tcp://{address}", block=False)
        frame = encode(Envelope(sender, body))
        try:
            peer.send(frame, block=False)
            self._counters.sent(type(body).__name__, len(frame))
        except (pynng.TryAgain, pynng.Timeout):
            self._counters.lost(type(body).__name__)

    def close_except(self, addresses):
        """Close the sockets to all other addresses, whose instances are gone."""
        for address in self._peers.keys() - addresses:
            self._peers.pop(address).close()

    def close(self):
        """Close all sockets."""
        for sock in (self._pull, *self._peers.values()):
            sock.close()

    @handler("_read")
    def _on_read(self, fd):
        for _ in range(RECV_BATCH):
            try:
                frame = self._pull.recv(block=False)
            except (pynng.TryAgain, pynng.Timeout):
                return
            try:
                envelope = decode(frame)
            except CodecError as exc:
                self._counters.bad()
                log.warning("bad message refused", error=str(exc), size=len(frame))
                continue
            self._on_message(envelope.sender, envelope.body)
