"""Commands of the group's log, and their results."""

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
    """Asks whether this agent ever joined before; an agent with an empty disk does not vote until answered."""

    site: Name


class Claim(msgspec.Struct, tag="claim", array_like=True, frozen=True):
    """Makes this agent the owner of a duty that has no owner."""

    duty: Name


class Renew(msgspec.Struct, tag="renew", array_like=True, frozen=True):
    """Renews the lease of a duty."""

    duty: Name
    token: Token


class Release(msgspec.Struct, tag="release", array_like=True, frozen=True):
    """Gives up a duty, which is free at once."""

    duty: Name
    token: Token


class Expire(msgspec.Struct, tag="expire", array_like=True, frozen=True):
    """Sent by the leader alone: the lease has expired, unless renewed since it counted `renewals`."""

    duty: Name
    token: Token
    renewals: Number


class Order(msgspec.Struct, tag="order", array_like=True, frozen=True):
    """Records an order before it is sent to the yard: `count` servers of a kind, negative to retire some."""

    duty: Name
    token: Token
    id: Name
    kind: Name
    count: Count


class Settle(msgspec.Struct, tag="settle", array_like=True, frozen=True):
    """Records how many servers the yard started for an order; `final` if no more will start."""

    duty: Name
    token: Token
    id: Name
    started: Count
    final: bool


class Ended(msgspec.Struct, tag="ended", array_like=True, frozen=True):
    """Records the yard's total of servers of a kind that have ended by themselves since the yard began."""

    duty: Name
    token: Token
    kind: Name
    total: Number


class Allot(msgspec.Struct, tag="allot", array_like=True, frozen=True):
    """Raises a site's allowance of servers to order while cut off; `total` includes all earlier allotments."""

    token: Token
    site: Name
    total: Number


class Act(msgspec.Struct, array_like=True, frozen=True):
    """One act of a site's coordinator: an order with its state, or a lowered cap."""

    id: Name
    what: Annotated[str, Meta(pattern="^(order|cap)$")]
    kind: str = ""
    count: Count = 0
    started: Count = 0
    build: Number = 0
    cap: Share = 0.0
    sent: bool = False  # reserved with a majority and sent to the yard; before that it cannot take effect


class Handover(msgspec.Struct, tag="handover", array_like=True, frozen=True):
    """A coordinator's journal or a part of it; `last` closes the journal."""

    site: Name
    token: Token
    acts: Annotated[list[Act], Meta(max_length=MAX_ACTS)]
    last: bool


class Found(msgspec.Struct, tag="found", array_like=True, frozen=True):
    """A site's orders from the yard's list, read after the yard has begun to refuse all older tokens.

    With `last`, `spent` is what a majority of the site's agents report as reserved, and all older journals are
    settled.
    """

    duty: Name
    token: Token
    acts: Annotated[list[Act], Meta(max_length=MAX_ACTS)]
    spent: Number
    last: bool


class Publish(msgspec.Struct, tag="publish", array_like=True, frozen=True):
    """Publishes the fleet's table of run times."""

    token: Token
    version: Number
    table: Blob


class Cap(msgspec.Struct, tag="cap", array_like=True, frozen=True):
    """Lowers the cap of a build; sent by the owner of the fleet's capacity."""

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
    """An agent's command. A repeated incarnation and number is the same proposal and is not applied twice."""

    agent: Agent
    incarnation: Number
    number: Number
    command: Command


class Result(msgspec.Struct, array_like=True, frozen=True):
    """Result of a proposal: whether it was applied, else why not; the token of the grant or duty concerned."""

    ok: bool
    reason: Text = ""
    token: Token = Token()


def encode(proposal: Proposal) -> bytes:
    """Encodes a proposal for the log."""
    return msgspec.msgpack.encode(proposal)


_DECODER: msgspec.msgpack.Decoder[Proposal] = msgspec.msgpack.Decoder(Proposal)


def decode(data: bytes) -> Proposal:
    """Decodes a proposal from the log. msgspec.MsgspecError if it is not valid."""
    return _DECODER.decode(data)
