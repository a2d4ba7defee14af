"""The chat protocol's messages, `otterquay.chat.v1`: JSON objects, one a WebSocket text message."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

SUBPROTOCOL = "otterquay.chat.v1"

Id = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[!-~]+$")]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Short = Annotated[str, Meta(max_length=256)]

# close codes of our own (RFC 6455 section 7.4.2)
BAD_HELLO, TAKEN_OVER, BAD_TOKEN, TOO_SLOW, LIMIT_REACHED, NO_HELLO, SILENT = (
    4001,
    4002,
    4003,
    4004,
    4005,
    4008,
    4009,
)


class _ClientMessage(msgspec.Struct, frozen=True, tag_field="type", forbid_unknown_fields=True):
    pass


class Hello(_ClientMessage, frozen=True, tag="hello"):
    """Begin a session; `proof` as in chat.tokens.proof, over the nonce of the challenge."""

    name: Name
    tenant: Short = ""
    role: Literal["player", "operator"] = "player"
    proof: Short = ""


class ResumeHello(_ClientMessage, frozen=True, tag="resume"):
    """Come back to a session; `open` are the commands whose answers the client still waits for."""

    token: Annotated[str, Meta(max_length=1024)]
    open: Annotated[list[Id], Meta(max_length=256)] = []


class Command(_ClientMessage, frozen=True, tag="command"):
    """A command; the same id is the same command, however often it comes."""

    id: Id
    text: Annotated[str, Meta(max_length=4000)]


class Ack(_ClientMessage, frozen=True, tag="ack"):
    """The client has the final answer; it is not sent again."""

    id: Id


class Bye(_ClientMessage, frozen=True, tag="bye"):
    """The client ends its session; what is open runs on, its answers are dropped."""


Incoming = Hello | ResumeHello | Command | Ack | Bye


class _ServerMessage(msgspec.Struct, frozen=True, tag_field="type", omit_defaults=True):
    pass


class Challenge(_ServerMessage, frozen=True, tag="challenge"):
    """The first word on a connection."""

    nonce: str


class Welcome(_ServerMessage, frozen=True, tag="welcome"):
    """The session is there; the token of the last welcome resumes it."""

    token: str
    resumed: bool
    resume_within_ms: int
    max_open: int


class Accepted(_ServerMessage, frozen=True, tag="accepted"):
    """The command will get one final answer."""

    id: str


class Progress(_ServerMessage, frozen=True, tag="progress"):
    """An attempt for the command has been sent."""

    id: str
    attempt: int


class Answer(_ServerMessage, frozen=True, tag="answer"):
    """The final answer. `refused`: repeating is harmless; `failed`: no promise; `unknown`: nobody here knows."""

    id: str
    kind: Literal["served", "refused", "failed", "unknown"]
    text: str = ""
    retry_after_ms: int = 0


class Problem(_ServerMessage, frozen=True, tag="error"):
    """What was sent was not taken; a command named here has not run."""

    code: str
    text: str
    id: str = ""


class Report(_ServerMessage, frozen=True, tag="report"):
    """The answer to an operator's question, or news that an operator follows."""

    text: str
    id: str = ""


Outgoing = Challenge | Welcome | Accepted | Progress | Answer | Problem | Report

_DECODER: msgspec.json.Decoder[Incoming] = msgspec.json.Decoder(Incoming)
_ENCODER = msgspec.json.Encoder()


def decode(text: bytes) -> Incoming:
    """A message of a client; msgspec.MsgspecError says what is wrong with it."""
    return _DECODER.decode(text)


def encode(message: Outgoing) -> bytes:
    """A message for a client."""
    return _ENCODER.encode(message)
