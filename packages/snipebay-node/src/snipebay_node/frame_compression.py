"""Compresses the frames of one connection, each with those before it as context.

Consecutive messages on a connection repeat field names, addresses and most values, so
a message costs little more than what has changed in it (RFC 1951, with a sync flush
after each frame).
"""

import zlib

__all__ = ["CompressionError", "FrameCompressor", "FrameDecompressor"]

# A window of 4 KiB holds the last few renewals or a dozen rows of a view. The leader
# keeps one for each instance: 32 KiB in all.
WINDOW_BITS = 12
MEMORY_LEVEL = 5


class CompressionError(ValueError):
    """A frame that can't be decompressed, or is too long when it is."""


class FrameCompressor:
    """Compresses the frames sent on one connection, in order."""

    def __init__(self):
        self._deflate = zlib.compressobj(
            wbits=-WINDOW_BITS, memLevel=MEMORY_LEVEL, strategy=zlib.Z_DEFAULT_STRATEGY
        )

    def compress(self, frame):
        """Return the compressed bytes of the next frame."""
        data = self._deflate.compress(frame)
        return data + self._deflate.flush(zlib.Z_SYNC_FLUSH)


class FrameDecompressor:
    """Decompresses the frames received on one connection, in order.

    Args:
        limit_bytes: Longest frame accepted, decompressed.
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._inflate = zlib.decompressobj(wbits=-WINDOW_BITS)

    def decompress(self, data):
        """Return the next frame.

        Raises:
            CompressionError: If the data is corrupt or the frame is too long. The
                connection can't be used any more.
        """
        try:
            frame = self._inflate.decompress(data, self._limit_bytes + 1)
        except zlib.error as exc:
            raise CompressionError(f"corrupt frame: {exc}") from exc
        if len(frame) > self._limit_bytes or self._inflate.unconsumed_tail:
            raise CompressionError(f"frame exceeds {self._limit_bytes!r} bytes")
        if self._inflate.eof:
            raise CompressionError("the sender has ended the compressed stream")
        return frame
