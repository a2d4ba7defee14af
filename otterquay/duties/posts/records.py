"""The posts as the group's log makes them: who holds which under what token, and what was told of it.

As everywhere in the log's state, nothing here depends on a clock: that a holder is late is the leader's to say.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Agent, Name, Number
from otterquay.duties.posts.names import MAX_POSTS, PostName, site_and_kind
from otterquay.duties.token import NONE, Token

MAX_MOVES = 512  # posts in one command


class Placed(msgspec.Struct, array_like=True, frozen=True):
    """A post goes to an agent in that life; nobody holds it with `agent` None."""

    post: PostName
    agent: Agent | None
    incarnation: Number = 0


class Assign(msgspec.Struct, tag="assign", array_like=True, frozen=True):
    """The leader's word: these posts change hands, each under a token of its own."""

    moves: Annotated[list[Placed], Meta(max_length=MAX_MOVES)]


class Report(msgspec.Struct, array_like=True, frozen=True):
    """What a holder saw of its site and kind: servers alive, on order, and brought by all orders so far; the yard's
    version of the site.
    """

    post: PostName
    token: Token
    version: Number
    alive: Number
    coming: Number
    brought: Number


class Looked(msgspec.Struct, tag="looked", array_like=True, frozen=True):
    """An agent's reports on the posts that it holds, as many as it has news of."""

    reports: Annotated[list[Report], Meta(max_length=MAX_MOVES)]


class Post(msgspec.Struct, array_like=True):
    """One post. `told` counts reports taken since it last changed hands; the figures are of the newest."""

    token: Token = NONE
    owner: Agent | None = None
    incarnation: int = 0
    report_count: int = 0
    version: int = 0
    alive: int = 0
    coming: int = 0
    brought: int = 0


class Posts(msgspec.Struct, array_like=True):
    """All of them by name, the highest version of each site that any holder has told, and how often posts changed
    hands.
    """

    posts: dict[PostName, Post] = {}
    versions: dict[Name, int] = {}
    assigned: int = 0

    def assign(self, moves: list[Placed], token: Callable[[], Token]) -> list[tuple[str, Token]]:
        """Each move in turn; a name that is none of a post, or one over the bound, is passed over.

        The posts that have a holder now, with their tokens.
        """
        given = []
        self.assigned += 1
        for move in moves:
            try:
                site_and_kind(move.post)
            except ValueError:
                continue
            post = self.posts.get(move.post)
            if post is None:
                if len(self.posts) >= MAX_POSTS:
                    continue
                post = self.posts[move.post] = Post()
            post.owner, post.incarnation, post.report_count = move.agent, move.incarnation, 0
            if move.agent is not None:
                post.token = token()
                given.append((move.post, post.token))
        return given

    def record_reports(self, agent: int, incarnation: int, reports: list[Report]) -> int:
        """Take what was told under the newest tokens; how many reports were refused."""
        refused = 0
        for report in reports:
            post = self.posts.get(report.post)
            if post is None or post.token != report.token or (post.owner, post.incarnation) != (agent, incarnation):
                refused += 1
                continue
            post.report_count += 1
            if report.version >= post.version:
                post.version, post.alive = report.version, report.alive
                post.coming, post.brought = report.coming, report.brought
            site, _ = site_and_kind(report.post)
            self.versions[site] = max(self.versions.get(site, 0), report.version)
        return refused
