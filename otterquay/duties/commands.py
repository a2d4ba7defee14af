"""Commands that the group's log orders, and what came of them."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Agent, Blob, Name, Number, Share, Text
from otterquay.duties.posts.records import Assign, Looked
from otterquay.duties.token import Token

Count = Annotated[int, Meta(ge=-1024, le=1024)]
MAX_ACTS = 256  # acts in one command


class Join(msgspec.Struct, tag="join", array_like=True, frozen=True):
    """An agent whose disk knows of no promise asks whether it ever was here: none votes in its site before that."""

    site: Name


class Claim(msgspec.Struct, tag="claim", array_like=True, frozen=True):
    """Make this agent the owner of a duty that has none."""

    duty: Name


class Renew(msgspec.Struct, tag="renew", array_like=True, frozen=True):
    """Go on owning."""

    duty: Name
    token: Token


class Release(msgspec.Struct, tag="release", array_like=True, frozen=True):
    """Own no longer; the duty is free at once."""

    duty: Name
    token: Token


class Expire(msgspec.Struct, tag="expire", array_like=True, frozen=True):
    """The leader's word that a lease has run out, as of so many renewals."""

    duty: Name
    token: Token
    renewals: Number


class Order(msgspec.Struct, tag="order", array_like=True, frozen=True):
    """Write an order down before it is sent: `count` servers of a kind, fewer than 0 to retire some."""

    duty: Name
    token: Token
    id: Name
    kind: Name
    count: Count


class Settle(msgspec.Struct, tag="settle", array_like=True, frozen=True):
    """What the yard says of an order; `final` when nothing more will come of it."""

    duty: Name
    token: Token
    id: Name
    started: Count
    final: bool


class Ended(msgspec.Struct, tag="ended", array_like=True, frozen=True):
    """How many servers of a kind the yard says have ended by themselves since its beginning."""

    duty: Name
    token: Token
    kind: Name
    total: Number


class Allot(msgspec.Struct, tag="allot", array_like=True, frozen=True):
    """Hand a site servers that it may order while it is cut off; `total` is all that it ever got."""

    token: Token
    site: Name
    total: Number


class Act(msgspec.Struct, array_like=True, frozen=True):
    """One act of a site's coordinator: an order with its state, or a cap that it lowered."""

    id: Name
    what: Annotated[str, Meta(pattern="^(order|cap)$")]
    kind: str = ""
    count: Count = 0
    started: Count = 0
    build: Number = 0
    cap: Share = 0.0
    sent: bool = False  # reserved with a majority, and on its way to the yard; before that it cannot have happened


class Handover(msgspec.Struct, tag="handover", array_like=True, frozen=True):
    """A coordinator's journal, or a part of it; `last` closes it."""

    site: Name
    token: Token
    acts: Annotated[list[Act], Meta(max_length=MAX_ACTS)]
    last: bool


class Found(msgspec.Struct, tag="found", array_like=True, frozen=True):
    """What the yard's list says of a site's orders once it refuses all older tokens.

    With `last`, `spent` is what a majority of the site's agents say was reserved, and all older journals are
    settled.
    """

    duty: Name
    token: Token
    acts: Annotated[list[Act], Meta(max_length=MAX_ACTS)]
    spent: Number
    last: bool


class Publish(msgspec.Struct, tag="publish", array_like=True, frozen=True):
    """The fleet's table of run times."""

    token: Token
    version: Number
    table: Blob


class Cap(msgspec.Struct, tag="cap", array_like=True, frozen=True):
    """A cap that the fleet's owner lowers for a build."""

    token: Token
    build: Number
    cap: Share


Command = (
    Join
    | Claim
    | Renew
    | Release
    | Expire
    | Order
    | Settle
    | Ended
    | Allot
    | Handover
    | Found
    | Publish
    | Cap
    | Assign
    | Looked
)


class Proposal(msgspec.Struct, array_like=True, frozen=True):
    """An agent's command; the same life and number again is the same proposal and is not done twice."""

    agent: Agent
    incarnation: Number
    number: Number
    command: Command


class Result(msgspec.Struct, array_like=True, frozen=True):
    """What came of a proposal: `ok`, or why not; the token of a grant; what an owner has to go on with."""

    ok: bool
    reason: Text = ""
    token: Token = Token()


def encode(proposal: Proposal) -> bytes:
    """For the log."""
    return msgspec.msgpack.encode(proposal)


_DECODER: msgspec.msgpack.Decoder[Proposal] = msgspec.msgpack.Decoder(Proposal)


def decode(data: bytes) -> Proposal:
    """From the log; msgspec.MsgspecError for what is none."""
    return _DECODER.decode(data)
