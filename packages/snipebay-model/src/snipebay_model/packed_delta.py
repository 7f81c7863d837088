"""Packs long changes of the view once for all instances.

The load pattern: a plan of thousands of routes goes to hundreds of instances at once.
Encoding and compressing it for each connection would keep the leader busy for longer
than an election timeout.
"""

import zlib

import msgspec

from snipebay_model.codec import CodecError
from snipebay_model.units import FRAME_LIMIT_BYTES
from snipebay_model.view import ViewDelta

__all__ = ["MIN_PACKED_BYTES", "pack_delta", "unpack_delta"]

# Shorter changes cost little and compress better with the messages before them.
MIN_PACKED_BYTES = 16 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ViewDelta)


def pack_delta(delta):
    """Return a :class:`ViewDelta` as compressed bytes, empty for a short one."""
    data = _encoder.encode(delta)
    return zlib.compress(data) if len(data) >= MIN_PACKED_BYTES else b""


def unpack_delta(data):
    """Return the :class:`ViewDelta` in packed bytes.

    Raises:
        CodecError: If the bytes are damaged or too long when decompressed.
    """
    inflate = zlib.decompressobj()
    try:
        plain = inflate.decompress(data, FRAME_LIMIT_BYTES)
        if not inflate.eof:
            raise CodecError("packed delta is cut short or too long")
        return _decoder.decode(plain)
    except (zlib.error, msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise CodecError(f"bad packed delta: {exc}") from exc
