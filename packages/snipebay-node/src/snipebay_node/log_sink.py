"""Writes log lines without ever waiting for whoever reads them."""

import json
import os
import zlib

__all__ = ["LogSink", "RequestLog"]

# Bytes that may wait for a slow reader; lines beyond that are dropped.
BUFFER_BYTES = 256 * 1024
# Lines on requests per second, and at once, over which they are dropped.
LINES_PER_S = 40.0
LINES_AT_ONCE = 200.0
# One in so many requests that went well has a line.
SAMPLE_ONE_IN = 50


class LogSink:
    """File for a logger whose writes never block.

    Args:
        fd: File descriptor to write to, which becomes non-blocking.
        limit_bytes: Bytes that may wait.

    Attributes:
        on_dropped: Function called with the number of lines dropped.
    """

    def __init__(self, fd, limit_bytes=BUFFER_BYTES):
        self._fd = fd
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._line = []
        self.dropped = 0
        self.on_dropped = _ignore
        os.set_blocking(fd, False)

    def write(self, text):
        """Take in text; a line is kept whole or dropped whole."""
        self._line.append(text)
        if not text.endswith("\n"):
            return
        line = "".join(self._line).encode()
        self._line.clear()
        if len(self._buffer) + len(line) > self._limit_bytes:
            self.flush()
        if len(self._buffer) + len(line) > self._limit_bytes:
            self._drop(1)
            return
        self._buffer += line

    def flush(self):
        """Write what the reader takes."""
        while self._buffer:
            try:
                done = os.write(self._fd, self._buffer[:65536])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; what happens must go on regardless.
                self._drop(self._buffer.count(b"\n"))
                self._buffer.clear()
                return
            del self._buffer[:done]
        if self.dropped:
            count, self.dropped = self.dropped, 0
            note = {"event": "log lines dropped", "count": count, "level": "warning"}
            self._buffer += json.dumps(note).encode() + b"\n"

    def _drop(self, count):
        self.dropped += count
        self.on_dropped(count)


class RequestLog:
    """Decides which requests have a line in the log.

    What failed, was repeated or was slow has one each, up to a rate; of the
    rest a sample by request id, which is the same in every process.

    Args:
        log: Logger.
        on_held_back: Function called for each line over the rate.
    """

    def __init__(self, log, on_held_back=None):
        self._log = log
        self._on_held_back = on_held_back or _ignore
        self._credit = LINES_AT_ONCE
        self._at_s = 0.0
        self._held_back = 0

    def record(self, now_s, *, is_notable, request, event="request ended", **fields):
        """Write a line on a request, if it is to have one."""
        if not is_notable and not is_sampled(request):
            return
        gained = (now_s - self._at_s) * LINES_PER_S
        self._credit = min(LINES_AT_ONCE, self._credit + gained)
        self._at_s = now_s
        if self._credit < 1:
            self._held_back += 1
            self._on_held_back()
            return
        self._credit -= 1
        if self._held_back:
            self._log.warning("request lines held back", count=self._held_back)
            self._held_back = 0
        self._log.info(event, request=request, **fields)


def _ignore(*_):
    """Do nothing."""


def is_sampled(request):
    """Return True for one in ``SAMPLE_ONE_IN`` request ids, by their text alone."""
    return zlib.crc32(request.encode()) % SAMPLE_ONE_IN == 0
