"""Encodes all messages between agents as MessagePack; a message with any field out of its range is refused."""

from __future__ import annotations

import msgspec

from otterquay.duties import messages as dm
from otterquay.group import messages as gm
from otterquay.sites import messages as sm

Message = gm.Message | dm.Message | sm.Message
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message. Raises ValueError (msgspec's errors derive from it) if it is malformed or out of range."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"a message of {len(data)} bytes, at most {MAX_MESSAGE_BYTES} are accepted")
    return _DECODER.decode(data)
