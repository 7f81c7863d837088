"""Messages between instances over pynng push and pull sockets."""

import pynng
import structlog
from circuits import BaseComponent, handler
from snipebay_model.codec import CodecError, Envelope, decode, encode
from snipebay_model.units import FRAME_LIMIT_BYTES

__all__ = ["Bus"]

SEND_BUFFER_MESSAGES = 256
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
MAX_MESSAGES_PER_READ = 256

log = structlog.get_logger(__name__)


class Bus(BaseComponent):
    """Sends and receives messages without a delivery guarantee.

    Lost messages are handled by the protocol cores.

    Args:
        poller: Poller of the process.
        address: ``host:port`` to listen on.
        on_message: Called with the sender and the message body.
        counters: Counts sent, dropped and undecodable messages.
    """

    channel = "bus"

    def __init__(self, poller, address, on_message, counters):
        super().__init__()
        self._on_message = on_message
        self._counters = counters
        self._push_sockets = {}
        self._pull_socket = pynng.Pull0(
            recv_buffer_size=1_024, recv_max_size=FRAME_LIMIT_BYTES
        )
        self._pull_socket.listen(f"tcp://{address}")
        poller.addReader(self, self._pull_socket.recv_fd)

    def send(self, address, sender, body):
        """Send a message, or drop it if the send buffer is full."""
        push_socket = self._push_sockets.get(address)
        if push_socket is None:
            push_socket = self._push_sockets[address] = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            push_socket.dial(f"tcp://{address}", block=False)
        frame = encode(Envelope(sender, body))
        try:
            push_socket.send(frame, block=False)
            self._counters.message_sent(type(body).__name__, len(frame))
        except (pynng.TryAgain, pynng.Timeout):
            self._counters.message_dropped(type(body).__name__)

    def close_except(self, addresses):
        """Close the sockets to all but ``addresses``; the other instances have left."""
        for address in self._push_sockets.keys() - addresses:
            self._push_sockets.pop(address).close()

    def close(self):
        """Close all sockets."""
        for sock in (self._pull_socket, *self._push_sockets.values()):
            sock.close()

    @handler("_read")
    def _on_read(self, fd):
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                frame = self._pull_socket.recv(block=False)
            except (pynng.TryAgain, pynng.Timeout):
                return
            try:
                envelope = decode(frame)
            except CodecError as exc:
                self._counters.message_undecodable()
                log.warning(
                    "undecodable message dropped", error=str(exc), size=len(frame)
                )
                continue
            self._on_message(envelope.sender, envelope.body)
