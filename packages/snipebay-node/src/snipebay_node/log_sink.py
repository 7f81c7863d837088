"""Log output that does not block the process and is limited in rate."""

import json
import os
import zlib

__all__ = ["LogSink", "RequestLog"]

# Bytes buffered for a slow reader; lines beyond that are dropped.
MAX_BUFFERED_BYTES = 256 * 1024
# Rate and burst of the token bucket that limits the log lines about requests.
MAX_LINES_PER_S = 40.0
LINE_BURST = 200.0
# One in this many unremarkable requests is logged.
SAMPLE_ONE_IN = 50


class LogSink:
    """File object for a logger, whose writes never block.

    Args:
        fd: File descriptor to write to, which becomes non-blocking.
        limit_bytes: Maximum size of the buffer in bytes.

    Attributes:
        dropped: Number of lines dropped since the last line that reported drops.
        on_dropped: Function called with the number of lines dropped.
    """

    def __init__(self, fd, limit_bytes=MAX_BUFFERED_BYTES):
        self._fd = fd
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._line_parts = []
        self.dropped = 0
        self.on_dropped = _ignore
        os.set_blocking(fd, False)

    def write(self, text):
        """Buffer text; a line is buffered or dropped as a unit."""
        self._line_parts.append(text)
        if not text.endswith("\n"):
            return
        line = "".join(self._line_parts).encode()
        self._line_parts.clear()
        if len(self._buffer) + len(line) > self._limit_bytes:
            self.flush()
        if len(self._buffer) + len(line) > self._limit_bytes:
            self._drop(1)
            return
        self._buffer += line

    def flush(self):
        """Write as much of the buffer as the reader accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._fd, self._buffer[:65536])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; logging must not stop the process.
                self._drop(self._buffer.count(b"\n"))
                self._buffer.clear()
                return
            del self._buffer[:written]
        if self.dropped:
            count, self.dropped = self.dropped, 0
            record = {"event": "log lines dropped", "count": count, "level": "warning"}
            self._buffer += json.dumps(record).encode() + b"\n"

    def _drop(self, count):
        self.dropped += count
        self.on_dropped(count)


class RequestLog:
    """Selects the requests to log.

    Failed, retried and slow requests are logged up to a rate limit. Of the others a
    sample is logged, selected by request id, so that every process selects the same
    requests.

    Args:
        log: Logger.
        on_suppressed: Function called for each line over the rate limit.
    """

    def __init__(self, log, on_suppressed=None):
        self._log = log
        self._on_suppressed = on_suppressed or _ignore
        self._tokens = LINE_BURST
        self._refilled_at_s = 0.0
        self._suppressed_count = 0

    def record(self, now_s, *, is_notable, request, event="request ended", **fields):
        """Log a request if it is selected and within the rate limit.

        Args:
            now_s: Current time.
            is_notable: True for a failed, retried or slow request.
            request: Id of the request.
            event: Event of the log line.
            **fields: Further fields of the log line.
        """
        if not is_notable and not is_sampled(request):
            return
        refill = (now_s - self._refilled_at_s) * MAX_LINES_PER_S
        self._tokens = min(LINE_BURST, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            self._suppressed_count += 1
            self._on_suppressed()
            return
        self._tokens -= 1
        if self._suppressed_count:
            self._log.warning(
                "request log lines suppressed", count=self._suppressed_count
            )
            self._suppressed_count = 0
        self._log.info(event, request=request, **fields)


def _ignore(*_):
    """Do nothing."""


def is_sampled(request):
    """Return True for one in ``SAMPLE_ONE_IN`` request ids, by a hash of the id."""
    return zlib.crc32(request.encode()) % SAMPLE_ONE_IN == 0
