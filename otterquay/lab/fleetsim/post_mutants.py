"""Mutants of the program, each with one guard of the posts removed. For the lab and tests only."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any
from unittest import mock

import msgspec

from otterquay.cores.effects import Effects
from otterquay.duties.posts.assigner import PostAssigner
from otterquay.duties.posts.holder import Holder
from otterquay.duties.posts.records import Posts
from otterquay.duties.token import Token
from otterquay.fleet.leader import LeaderService
from otterquay.group.member import Member
from otterquay.group.types import Role
from otterquay.lab.fleetsim.mutants import patch

_original_free = PostAssigner.free


def _free_at_once(self: PostAssigner, now: float, name: str, post: Any) -> bool:
    """A post is reassigned while its holder may still have a valid lease."""
    return True


def _unknown_leases_expired(self: PostAssigner, now: float, name: str, post: Any) -> bool:
    """A new leader treats every lease that it does not know as expired."""
    if post.owner is not None and post.owner not in self.leases:
        return True
    return _original_free(self, now, name, post)


def _any_status(self: PostAssigner, now: float, name: str, post: Any) -> bool:
    """Any status that does not name a post frees it, even one sent before the post was assigned."""
    heard, out = self.heard.get(post.owner), self.leaving.get(name)
    if heard and out and post.token.group not in heard.holding:
        return True
    return _original_free(self, now, name, post)


def _any_token(self: Posts, agent: int, incarnation: int, reports: list[Any]) -> int:
    """Reports are accepted under any token."""
    for report in reports:
        if post := self.posts.get(report.post):
            post.report_count += 1
    return 0


def _keep_posts(self: Holder, now: float) -> dict[str, Token]:
    """A holder keeps its posts after its lease has expired."""
    return self.posts


def _accept_late_answer(self: Holder, now: float, number: int, posts: Iterable[tuple[str, Token]]) -> None:
    """Leases count from the arrival of an answer, not from the request, and late answers are accepted."""
    self.applied, self.until, self.posts = max(number, self.applied), now + self.terms.group, dict(posts)


def _read_unconfirmed(self: Member, now: float, done: Callable[[float, Effects], None], out: Effects) -> bool:
    """A leader answers reads without confirming that it still leads."""
    if self.role is not Role.LEADER or self.commit_index < self.noop_index:
        return False
    done(now, out)
    return True


_original_books = LeaderService.books


@contextlib.contextmanager
def _stale_books() -> Iterator[None]:
    """A leader answers with records that are up to five seconds old, as a lagging replica would."""
    cache: dict[tuple[int, str], tuple[float, Any]] = {}

    def books(self: LeaderService, site: str, number: int) -> Any:
        now = self.member.heartbeat_at
        at, found = cache.get((id(self), site), (-1e9, None))
        if now - at > 5.0:
            found = _original_books(self, site, number)
            cache[id(self), site] = now, found
        return msgspec.structs.replace(found, number=number)

    with mock.patch.object(LeaderService, "books", books):
        yield


@contextlib.contextmanager
def _late_answers() -> Iterator[None]:
    with mock.patch.object(Holder, "answered", _accept_late_answer):
        yield


# by name: patch of the program, counts of the judge that detect it
MUTANTS: dict[str, tuple[Callable[[], contextlib.AbstractContextManager[Any]], tuple[str, ...]]] = {
    "a post given away at once": (patch(PostAssigner, "free", _free_at_once), ("two_owners",)),
    "a fresh leader knows no leases": (patch(PostAssigner, "free", _unknown_leases_expired), ("two_owners",)),
    "any status frees a post": (patch(PostAssigner, "free", _any_status), ("two_owners",)),
    "reports under any token": (patch(Posts, "record_reports", _any_token), ("late_harm",)),
    "a holder's lease never ends": (patch(Holder, "held", _keep_posts), ("two_owners",)),
    "books that lag": (_stale_books, ("stale_reads",)),
    "reads without asking a majority": (patch(Member, "read", _read_unconfirmed), ("stale_reads",)),
    "late answers count from when they come": (_late_answers, ("two_owners",)),
}
