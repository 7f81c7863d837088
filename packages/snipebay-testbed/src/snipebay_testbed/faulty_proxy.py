"""Loopback proxy that delays, resets, swallows or cuts what passes through it."""

import contextlib
import enum
import socket
import struct
import threading
import time

__all__ = ["Fault", "FaultyProxy"]

CHUNK_BYTES = 16 * 1024
CONNECT_TIMEOUT_S = 1.0
DELAY_S = 0.2
# Zero linger time: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Fault(enum.Enum):
    """What the proxy does with bytes.

    Members:
        NONE: Forward them.
        DELAY: Forward them after ``DELAY_S``.
        RESET: Reset connections, new ones and those in use.
        SWALLOW_REQUESTS: Drop what callers send; one direction of a cut link.
        SWALLOW_RESPONSES: Drop what the target sends; the other direction.
        SILENT: Drop both.
        CUT_HEAD: Forward the first bytes of what the target sends, then close.
    """

    NONE = enum.auto()
    DELAY = enum.auto()
    RESET = enum.auto()
    SWALLOW_REQUESTS = enum.auto()
    SWALLOW_RESPONSES = enum.auto()
    SILENT = enum.auto()
    CUT_HEAD = enum.auto()


_SWALLOWS = {
    True: (Fault.SWALLOW_REQUESTS, Fault.SILENT),
    False: (Fault.SWALLOW_RESPONSES, Fault.SILENT),
}
CUT_HEAD_BYTES = 21


class FaultyProxy:
    """Forwards TCP connections to a target until a fault is set.

    Args:
        host: Address to listen on; the port is chosen by the system.
        target: ``host:port`` to connect to.

    Attributes:
        address: ``host:port`` that it listens on.
        fault: :class:`Fault` in force for all connections.
    """

    def __init__(self, host, target):
        self.fault = Fault.NONE
        self._target = target
        self._sockets = set()
        self._listener = socket.create_server((host, 0))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set_fault(self, fault):
        """Change the fault in force; ``RESET`` also resets open connections."""
        self.fault = fault
        if fault is Fault.RESET:
            for sock in list(self._sockets):
                _reset(sock)

    def close(self):
        """Stop listening and reset all connections."""
        self._listener.close()
        self.set_fault(Fault.RESET)

    def _accept(self):
        while True:
            try:
                inner, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(inner,), daemon=True).start()

    def _serve(self, inner):
        host, _, port = self._target.rpartition(":")
        if self.fault is Fault.RESET:
            _reset(inner)
            return
        try:
            outer = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            _reset(inner)
            return
        outer.settimeout(None)
        self._sockets |= {inner, outer}
        for source, sink, is_request in ((inner, outer, True), (outer, inner, False)):
            args = (source, sink, is_request)
            threading.Thread(target=self._pump, args=args, daemon=True).start()

    def _pump(self, source, sink, is_request):
        """Forward bytes in one direction until either end closes."""
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                fault = self.fault
                if fault in _SWALLOWS[is_request]:
                    continue
                if fault is Fault.DELAY:
                    time.sleep(DELAY_S)
                if fault is Fault.CUT_HEAD and not is_request:
                    sink.sendall(data[:CUT_HEAD_BYTES])
                    break
                sink.sendall(data)
        for sock in (source, sink):
            self._sockets.discard(sock)
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def _reset(sock):
    """Close a socket with a reset, which also ends a pump that reads from it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.shutdown(socket.SHUT_RD)
    sock.close()
