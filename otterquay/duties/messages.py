"""Messages between an agent and the group's leader, and between agents about run times."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Agent, Blob, Name, Number, Seconds, Share, SmallBlob
from otterquay.duties.commands import Proposal, Result
from otterquay.duties.posts.names import MAX_POSTS, PostName
from otterquay.duties.state import OrderState
from otterquay.duties.token import Token


class Propose(msgspec.Struct, tag="propose", array_like=True, frozen=True):
    """Asks the leader to commit a proposal."""

    proposal: Proposal


class Done(msgspec.Struct, tag="done", array_like=True, frozen=True):
    """The result of a proposal: committed, or refused by the leader."""

    incarnation: Number
    number: Number
    result: Result


class Elsewhere(msgspec.Struct, tag="elsewhere", array_like=True, frozen=True):
    """The member asked is not the leader; `leader` is the one that it knows of, if any."""

    incarnation: Number
    number: Number
    leader: Agent | None


class Status(msgspec.Struct, tag="status", array_like=True, frozen=True):
    """An agent's heartbeat to the leader: coordinators it followed, servers it knows as reserved, its posts."""

    incarnation: Number
    site: Name
    followed: Annotated[list[Token], Meta(max_length=128)]
    spent: Number
    cut: bool  # whether it follows a coordinator at the moment
    number: Number = 0  # increases with each status; 0: the agent takes no posts
    applied: Number = 0  # number of the newest status whose answer it has applied
    holding: Annotated[list[Number], Meta(max_length=MAX_POSTS)] = []  # tokens of its posts


class SiteBeat(msgspec.Struct, array_like=True, frozen=True):
    """The part of a Beat about the agent's own site."""

    token: Token
    granted: Number
    floor: Token
    closed: Annotated[list[Token], Meta(max_length=128)]
    open: Annotated[list[Token], Meta(max_length=128)]  # journals that the group has not recorded
    spent: Number  # what a majority of the site's agents report as reserved
    settled: Number  # what the group has accounted for


class Beat(msgspec.Struct, tag="beat", array_like=True, frozen=True):
    """Answer to Status of a leader that a majority confirms: owners, the agent's own site, caps and its posts."""

    incarnation: Number
    owners: dict[Name, Agent | None]
    site: SiteBeat
    caps: Annotated[dict[Number, Share], Meta(max_length=256)]
    table: Number  # version of the table of run times
    epoch: Number
    number: Number = 0  # of the status that this answers
    posts: Annotated[list[tuple[PostName, Token]], Meta(max_length=MAX_POSTS)] | None = None  # to hold from now on


class AskBooks(msgspec.Struct, tag="ask-books", array_like=True, frozen=True):
    """Asks for the group's records of a site's servers by a linearizable read; the answer repeats `number`."""

    site: Name
    number: Number = 0


class Books(msgspec.Struct, tag="books", array_like=True, frozen=True):
    """A site's open orders and servers alive, the allowances of all sites, and the room left under the bound."""

    site: Name
    orders: dict[str, OrderState]
    alive: dict[str, int]
    granted: dict[str, int]
    spent: dict[str, int]
    room: int
    number: Number = 0


class AskTable(msgspec.Struct, tag="ask-table", array_like=True, frozen=True):
    """Asks for the table of run times."""


class Table(msgspec.Struct, tag="table", array_like=True, frozen=True):
    """The newest table of run times, with the token of the owner that published it."""

    version: Number
    token: Token
    table: Blob


class Rows(msgspec.Struct, tag="rows", array_like=True, frozen=True):
    """Rows of run times, sent to the owner of the fleet's capacity or to the site's coordinator."""

    rows: SmallBlob


class Asked(msgspec.Struct, tag="asked", array_like=True, frozen=True):
    """An agent's requests per second by class, sent to the owner of its site's servers or to the coordinator."""

    rates: Annotated[dict[Name, Seconds], Meta(max_length=64)]


class Relayed(msgspec.Struct, tag="relayed", array_like=True, frozen=True):
    """A message from `origin` to `to`, relayed because they cannot reach each other directly."""

    origin: Agent
    to: Agent
    body: Blob


Message = Propose | Done | Elsewhere | Status | Beat | AskBooks | Books | AskTable | Table | Rows | Asked | Relayed
