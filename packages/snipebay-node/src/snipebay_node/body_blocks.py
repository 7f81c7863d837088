"""Holds the only copy of a request body, in blocks."""

__all__ = ["BodyBlocks"]

BLOCK_BYTES = 64 * 1024
# Pieces from this size on become blocks of their own, without being copied again.
MIN_BLOCK_BYTES = 8 * 1024


class BodyBlocks:
    """A request body as it arrived, and the number of its holders.

    The exchange holds it until its response begins, and each attempt until it is
    written. The bytes are discarded with the last holder.

    Args:
        data: First bytes.

    Attributes:
        blocks: The bytes in order.
        on_discarded: Called without arguments when the bytes are discarded, or None.
    """

    def __init__(self, data=b""):
        self.blocks = []
        self.on_discarded = None
        self._tail = bytearray()
        self._size = 0
        self._holders = 1
        if data:
            self.append(data)

    def __len__(self):
        return self._size

    def __bytes__(self):
        return b"".join(self.sealed())

    def append(self, data):
        """Add bytes; small pieces are joined, so that they take no more memory."""
        self._size += len(data)
        if len(data) >= MIN_BLOCK_BYTES:
            self.sealed().append(data)
            return
        self._tail += data
        if len(self._tail) >= BLOCK_BYTES:
            self.sealed()

    def sealed(self):
        """Return the blocks with all bytes that have arrived."""
        if self._tail:
            # A bytearray that has grown reserves more than it holds.
            self.blocks.append(bytes(self._tail))
            self._tail = bytearray()
        return self.blocks

    def retain(self):
        """Add a holder."""
        self._holders += 1

    def release(self):
        """Remove a holder; the last one discards the bytes."""
        self._holders -= 1
        if self._holders == 0:
            self.blocks = []
            self._tail = bytearray()
            if self.on_discarded is not None:
                self.on_discarded()
