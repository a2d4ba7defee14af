"""Replicated records of the posts: the holder and token of each, and the newest report about it.

Like all state made by the log, nothing here depends on a clock; the leader decides whether a holder is late.
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
    """Assigns a post to one incarnation of an agent, or to nobody if `agent` is None."""

    post: PostName
    agent: Agent | None
    incarnation: Number = 0


class Assign(msgspec.Struct, tag="assign", array_like=True, frozen=True):
    """Reassigns posts, each under a new token; proposed by the leader only."""

    moves: Annotated[list[Placed], Meta(max_length=MAX_MOVES)]


class Report(msgspec.Struct, array_like=True, frozen=True):
    """A holder's observation of its site and kind, at a version of the yard's list of the site.

    Counts the servers that are alive, on order, and delivered by all orders so far.
    """

    post: PostName
    token: Token
    version: Number
    alive: Number
    on_order: Number
    delivered: Number


class Looked(msgspec.Struct, tag="looked", array_like=True, frozen=True):
    """An agent's reports on those of its posts that have changed or need a refresh."""

    reports: Annotated[list[Report], Meta(max_length=MAX_MOVES)]


class Post(msgspec.Struct, array_like=True):
    """One post. `report_count` counts reports accepted since its last assignment; the figures are the newest."""

    token: Token = NONE
    owner: Agent | None = None
    incarnation: int = 0
    report_count: int = 0
    version: int = 0
    alive: int = 0
    on_order: int = 0
    delivered: int = 0


class Posts(msgspec.Struct, array_like=True):
    """All posts by name, the highest reported version of each site, and the number of assignments applied."""

    posts: dict[PostName, Post] = {}
    versions: dict[Name, int] = {}
    assigned: int = 0

    def assign(self, moves: list[Placed], token: Callable[[], Token]) -> list[tuple[str, Token]]:
        """Applies the moves in order; returns the posts that now have a holder, with their tokens.

        Skips a name that is not a post's, and a new post over the limit.
        """
        granted = []
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
                granted.append((move.post, post.token))
        return granted

    def record_reports(self, agent: int, incarnation: int, reports: list[Report]) -> int:
        """Records the reports made under the posts' newest tokens; returns how many were refused."""
        refused = 0
        for report in reports:
            post = self.posts.get(report.post)
            if post is None or post.token != report.token or (post.owner, post.incarnation) != (agent, incarnation):
                refused += 1
                continue
            post.report_count += 1
            if report.version >= post.version:
                post.version, post.alive = report.version, report.alive
                post.on_order, post.delivered = report.on_order, report.delivered
            site, _ = site_and_kind(report.post)
            self.versions[site] = max(self.versions.get(site, 0), report.version)
        return refused
