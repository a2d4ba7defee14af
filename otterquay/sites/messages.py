"""Messages between the agents of a site."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Number, Seconds, Share
from otterquay.duties.token import Token

Caps = Annotated[dict[Number, Share], Meta(max_length=256)]


class Word(msgspec.Struct, tag="word", array_like=True, frozen=True):
    """Periodic liveness message: how long ago the group was heard, and the sender's incarnation."""

    heard: Seconds
    incarnation: Number


class Ask(msgspec.Struct, tag="ask", array_like=True, frozen=True):
    """Requests a vote for the sender as coordinator under this token; with `pre`, a non-binding pre-vote."""

    token: Token
    pre: bool


class Answer(msgspec.Struct, tag="answer", array_like=True, frozen=True):
    """Answers an `Ask`: the vote, the newest token known to the voter, and its view of allowance and caps."""

    token: Token
    pre: bool
    granted: bool
    newest: Token
    allowed: Number
    spent: Number
    caps: Caps
    incarnation: Number


class Lead(msgspec.Struct, tag="lead", array_like=True, frozen=True):
    """The coordinator's heartbeat: the part of the allowance reserved so far, and the site's caps."""

    token: Token
    number: Number
    spent: Number
    caps: Caps


class Followed(msgspec.Struct, tag="followed", array_like=True, frozen=True):
    """Answers a `Lead`: it is persisted (ok), or the agent knows a newer token."""

    token: Token
    number: Number
    ok: bool
    newest: Token
    incarnation: Number


class Older(msgspec.Struct, tag="older", array_like=True, frozen=True):
    """The receiver's disk is an older copy: the sender has heard it in this later incarnation."""

    incarnation: Number


class Released(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """The coordinator has stopped acting."""

    token: Token


class Ballot(msgspec.Struct, tag="ballot", array_like=True, frozen=True):
    """An agent's verdict on a build, counted by the coordinator: back, or not (any more)."""

    build: Number
    back: bool


Message = Word | Ask | Answer | Lead | Followed | Older | Released | Ballot
KINDS = (Word, Ask, Answer, Lead, Followed, Older, Released, Ballot)
