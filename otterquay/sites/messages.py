"""Words between the agents of a site."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Number, Seconds, Share
from otterquay.duties.token import Token

Caps = Annotated[dict[Number, Share], Meta(max_length=256)]


class Word(msgspec.Struct, tag="word", array_like=True, frozen=True):
    """Told to all others of the site: how long ago the group was heard, and which start of the agent this is."""

    heard: Seconds
    incarnation: Number


class Ask(msgspec.Struct, tag="ask", array_like=True, frozen=True):
    """Make me the site's coordinator under this token; with `pre`, would you?"""

    token: Token
    pre: bool


class Answer(msgspec.Struct, tag="answer", array_like=True, frozen=True):
    """Yes or no, the newest token that the voter knows, and what it knows of the allowance and the caps."""

    token: Token
    pre: bool
    granted: bool
    newest: Token
    allowed: Number
    spent: Number
    caps: Caps
    incarnation: Number


class Lead(msgspec.Struct, tag="lead", array_like=True, frozen=True):
    """The coordinator's beat: what is reserved of the allowance by now, and the caps that hold in the site."""

    token: Token
    number: Number
    spent: Number
    caps: Caps


class Followed(msgspec.Struct, tag="followed", array_like=True, frozen=True):
    """A beat is written down (ok), or the agent knows a newer token."""

    token: Token
    number: Number
    ok: bool
    newest: Token
    incarnation: Number


class Older(msgspec.Struct, tag="older", array_like=True, frozen=True):
    """Your disk is an older copy: I have heard you in this life."""

    incarnation: Number


class Released(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """The coordinator has stopped acting: the group is back."""

    token: Token


class Ballot(msgspec.Struct, tag="ballot", array_like=True, frozen=True):
    """An agent's verdict on a build, for the coordinator to count: back, or not (any more)."""

    build: Number
    back: bool


Message = Word | Ask | Answer | Lead | Followed | Older | Released | Ballot
KINDS = (Word, Ask, Answer, Lead, Followed, Older, Released, Ballot)
