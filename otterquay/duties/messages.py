"""Words between an agent and the group's leader, and between agents about run times."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Agent, Blob, Name, Number, Seconds, Share, Small
from otterquay.duties.commands import Proposal, Result
from otterquay.duties.posts.names import MAX_POSTS, PostName
from otterquay.duties.state import OrderState
from otterquay.duties.token import Token


class Propose(msgspec.Struct, tag="propose", array_like=True, frozen=True):
    """Do this."""

    proposal: Proposal


class Done(msgspec.Struct, tag="done", array_like=True, frozen=True):
    """It is committed; what came of it."""

    incarnation: Number
    number: Number
    result: Result


class Elsewhere(msgspec.Struct, tag="elsewhere", array_like=True, frozen=True):
    """This member does not lead; perhaps that one does."""

    incarnation: Number
    number: Number
    leader: Agent | None


class Status(msgspec.Struct, tag="status", array_like=True, frozen=True):
    """An agent tells the leader that it is there, which coordinators it followed, and what it knows as reserved."""

    incarnation: Number
    site: Name
    followed: Annotated[list[Token], Meta(max_length=128)]
    spent: Number
    cut: bool  # whether it follows a coordinator right now
    number: Number = 0  # rises with each; 0: it takes no posts
    applied: Number = 0  # the newest of them whose answer it has applied
    holding: Annotated[list[Number], Meta(max_length=MAX_POSTS)] = []  # tokens of its posts


class SiteBeat(msgspec.Struct, array_like=True, frozen=True):
    """What the group tells a site's agents of their site."""

    token: Token
    granted: Number
    floor: Token
    closed: Annotated[list[Token], Meta(max_length=128)]
    open: Annotated[list[Token], Meta(max_length=128)]  # journals that are not taken
    spent: Number  # what a majority of the site's agents say is reserved
    settled: Number  # what the group has accounted for


class Beat(msgspec.Struct, tag="beat", array_like=True, frozen=True):
    """A leader that a majority answers replies to a status: what duties are free, and the agent's own site."""

    incarnation: Number
    owners: dict[Name, Agent | None]
    site: SiteBeat
    caps: Annotated[dict[Number, Share], Meta(max_length=256)]
    table: Number  # version of the table of run times
    epoch: Number
    number: Number = 0  # of the status that this answers
    posts: Annotated[list[tuple[PostName, Token]], Meta(max_length=MAX_POSTS)] | None = None  # held from now on


class AskBooks(msgspec.Struct, tag="ask-books", array_like=True, frozen=True):
    """What does the group hold of this site's servers? Read as of now; the answer names the number."""

    site: Name
    number: Number = 0


class Books(msgspec.Struct, tag="books", array_like=True, frozen=True):
    """Open orders, servers alive, allowances of all sites, and room under the bound."""

    site: Name
    orders: dict[str, OrderState]
    alive: dict[str, int]
    granted: dict[str, int]
    spent: dict[str, int]
    room: int
    number: Number = 0


class AskTable(msgspec.Struct, tag="ask-table", array_like=True, frozen=True):
    """The table of run times, please."""


class Table(msgspec.Struct, tag="table", array_like=True, frozen=True):
    """The newest one, under its owner's token."""

    version: Number
    token: Token
    table: Blob


class Rows(msgspec.Struct, tag="rows", array_like=True, frozen=True):
    """Rows of run times, to the owner of the fleet's capacity or to the site's coordinator."""

    rows: Small


class Asked(msgspec.Struct, tag="asked", array_like=True, frozen=True):
    """Requests a second by class that an agent sees, to the owner of its site's servers or the coordinator."""

    rates: Annotated[dict[Name, Seconds], Meta(max_length=64)]


class Relayed(msgspec.Struct, tag="relayed", array_like=True, frozen=True):
    """A message passed on for one that cannot hear the other itself: from `origin` to `to`."""

    origin: Agent
    to: Agent
    body: Blob


Message = Propose | Done | Elsewhere | Status | Beat | AskBooks | Books | AskTable | Table | Rows | Asked | Relayed
