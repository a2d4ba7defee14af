"""Messages of the chat protocol `otterquay.chat.v1`: one JSON object per WebSocket text message."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

SUBPROTOCOL = "otterquay.chat.v1"

Id = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[!-~]+$")]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Short = Annotated[str, Meta(max_length=256)]

# close codes in the range for private use (RFC 6455 section 7.4.2)
BAD_HELLO = 4001
TAKEN_OVER = 4002
BAD_TOKEN = 4003
TOO_SLOW = 4004
LIMIT_REACHED = 4005
NO_HELLO = 4008
SILENT = 4009


class _ClientMessage(msgspec.Struct, frozen=True, tag_field="type", forbid_unknown_fields=True):
    pass


class Hello(_ClientMessage, frozen=True, tag="hello"):
    """Start a session; `proof` is computed by `chat.tokens.proof` over the nonce of the challenge."""

    name: Name
    tenant: Short = ""
    role: Literal["player", "operator"] = "player"
    proof: Short = ""


class ResumeHello(_ClientMessage, frozen=True, tag="resume"):
    """Resume a session; `open` lists the commands that the client still waits for."""

    token: Annotated[str, Meta(max_length=1024)]
    open: Annotated[list[Id], Meta(max_length=256)] = []


class Command(_ClientMessage, frozen=True, tag="command"):
    """A command; a repeated id stands for the same command, which runs once."""

    id: Id
    text: Annotated[str, Meta(max_length=4000)]


class Ack(_ClientMessage, frozen=True, tag="ack"):
    """Acknowledge a final answer; it is not sent again."""

    id: Id


class Bye(_ClientMessage, frozen=True, tag="bye"):
    """End the session; open commands keep running, and their answers are dropped."""


Incoming = Hello | ResumeHello | Command | Ack | Bye


class _ServerMessage(msgspec.Struct, frozen=True, tag_field="type", omit_defaults=True):
    pass


class Challenge(_ServerMessage, frozen=True, tag="challenge"):
    """The first message on a connection."""

    nonce: str


class Welcome(_ServerMessage, frozen=True, tag="welcome"):
    """A session was started or resumed; the token of the latest welcome resumes it."""

    token: str
    resumed: bool
    resume_within_ms: int
    max_open: int


class Accepted(_ServerMessage, frozen=True, tag="accepted"):
    """The command is accepted and will get one final answer."""

    id: str


class Progress(_ServerMessage, frozen=True, tag="progress"):
    """An attempt for the command has been sent."""

    id: str
    attempt: int


class Answer(_ServerMessage, frozen=True, tag="answer"):
    """The final answer to a command.

    `refused`: repeating it is harmless; `failed`: it may or may not have run; `unknown`: its outcome is lost.
    """

    id: str
    kind: Literal["served", "refused", "failed", "unknown"]
    text: str = ""
    retry_after_ms: int = 0


class Problem(_ServerMessage, frozen=True, tag="error"):
    """A message was rejected; it did not start the command named by `id`, if any."""

    code: str
    text: str
    id: str = ""


class Report(_ServerMessage, frozen=True, tag="report"):
    """The answer to a query of an operator, or a line of news for one that sent /follow."""

    text: str
    id: str = ""


Outgoing = Challenge | Welcome | Accepted | Progress | Answer | Problem | Report

_DECODER: msgspec.json.Decoder[Incoming] = msgspec.json.Decoder(Incoming)
_ENCODER = msgspec.json.Encoder()


def decode(text: bytes) -> Incoming:
    """Decode a message of a client; raises msgspec.MsgspecError when it is invalid."""
    return _DECODER.decode(text)


def encode(message: Outgoing) -> bytes:
    """Encode a message for a client."""
    return _ENCODER.encode(message)
