"""Encodes and decodes messages between processes as versioned MessagePack."""

import attrs
import msgspec

from snipebay_model import messages
from snipebay_model.units import FRAME_LIMIT_BYTES, PROTOCOL_VERSION

__all__ = ["CodecError", "Envelope", "decode", "decode_body", "encode", "encode_body"]

_MESSAGE_TYPES = {
    name: getattr(messages, name)
    for name in messages.__all__
    if attrs.has(getattr(messages, name))
}
_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(tuple[int, str, str, msgspec.Raw])
_decoders = {name: msgspec.msgpack.Decoder(cls) for name, cls in _MESSAGE_TYPES.items()}


class CodecError(ValueError):
    """A frame or message is too long, malformed, of another version or unknown."""


@attrs.frozen
class Envelope:
    """A message with its sender.

    Attributes:
        sender: Instance id; of a control instance, its node name
            ``id#incarnation``.
        body: One of the classes in :mod:`snipebay_model.messages`.
    """

    sender: str
    body: object


def encode(envelope):
    """Return the frame of an envelope."""
    kind = type(envelope.body).__name__
    return _encoder.encode((PROTOCOL_VERSION, envelope.sender, kind, envelope.body))


def decode(frame):
    """Return the envelope in a frame.

    Raises:
        CodecError: If the frame isn't a valid message of this protocol version.
    """
    if len(frame) > FRAME_LIMIT_BYTES:
        raise CodecError(
            f"frame of {len(frame)!r} bytes exceeds the limit of {FRAME_LIMIT_BYTES!r}"
        )
    try:
        version, sender, kind, raw = _frame_decoder.decode(frame)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise CodecError(f"malformed frame: {exc}") from exc
    if version != PROTOCOL_VERSION:
        raise CodecError(
            f"frame has protocol version {version!r}, expected {PROTOCOL_VERSION!r}"
        )
    return Envelope(sender, decode_body(kind, raw))


def encode_body(body):
    """Return kind and bytes of one message, to embed in another."""
    return type(body).__name__, _encoder.encode(body)


def decode_body(kind, data):
    """Return the message of a kind from its bytes.

    Raises:
        CodecError: If the kind is unknown or the bytes don't match its fields.
    """
    decoder = _decoders.get(kind)
    if decoder is None:
        raise CodecError(f"unknown message kind {kind!r}")
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, TypeError, ValueError, RecursionError) as exc:
        raise CodecError(f"bad {kind} message: {exc}") from exc
