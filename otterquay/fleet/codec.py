"""All messages between agents as bytes: MessagePack by msgspec, each field within its range or the whole is
refused.
"""

from __future__ import annotations

import msgspec

from otterquay.duties import messages as dm
from otterquay.group import messages as gm
from otterquay.sites import messages as sm

Message = gm.Message | dm.Message | sm.Message
MESSAGE_MOST = 8 * 1024 * 1024
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Bytes of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """A message from its bytes; ValueError (msgspec's errors are) for what is none, or out of range."""
    if len(data) > MESSAGE_MOST:
        raise ValueError(f"a message of {len(data)} bytes, at most {MESSAGE_MOST} are taken")
    return _DECODER.decode(data)
