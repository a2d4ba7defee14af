"""Authentication proofs and resume tokens: MessagePack authenticated with keyed BLAKE3, without a clock.

A proof covers the nonce that the gateway drew for one connection, so it cannot be replayed on another. A resume
token names the session, the incarnation of the agent that holds it, and a secret that changes at each resume. It
carries no expiry time: the agent that holds the session decides, as it knows when the session lost its socket.
"""

from __future__ import annotations

import base64
import binascii
import hmac
from typing import Literal

import msgspec
from blake3 import blake3

MAC_BYTES = 16
MAX_TOKEN_CHARS = 1024

Role = Literal["player", "operator"]


class ResumeToken(msgspec.Struct, frozen=True, array_like=True):
    """The content of a resume token; `home` is the number of the agent that holds the session."""

    home: int
    incarnation: int
    session: int
    secret: int
    tenant: str
    name: str
    role: Role


def _mac(key: bytes, purpose: bytes, data: bytes) -> bytes:
    return blake3(purpose + b"\0" + data, key=key).digest(length=MAC_BYTES)


def proof(key: bytes, nonce: str, role: Role, tenant: str, name: str) -> str:
    """Compute the proof that a client holds the key, for the nonce of its connection."""
    return _mac(key, b"proof", msgspec.msgpack.encode((nonce, role, tenant, name))).hex()


def verify_proof(key: bytes, presented: str, nonce: str, role: Role, tenant: str, name: str) -> bool:
    """Verify a proof in constant time."""
    return hmac.compare_digest(presented.encode(), proof(key, nonce, role, tenant, name).encode())


def encode_token(key: bytes, resume: ResumeToken) -> str:
    """Encode and authenticate a resume token as URL-safe text."""
    data = msgspec.msgpack.encode(resume)
    return base64.urlsafe_b64encode(_mac(key, b"resume", data) + data).decode().rstrip("=")


def decode_token(key: bytes, token: str) -> ResumeToken | None:
    """Verify and decode a token; None when it is forged or malformed."""
    if len(token) > MAX_TOKEN_CHARS:
        return None
    try:
        raw = base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
        data = raw[MAC_BYTES:]
        if not hmac.compare_digest(raw[:MAC_BYTES], _mac(key, b"resume", data)):
            return None
        return msgspec.msgpack.decode(data, type=ResumeToken)
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return None
