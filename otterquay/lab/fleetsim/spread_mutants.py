"""Guards of the posts, each taken out once. For laboratories and tests alone."""

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

_free = PostAssigner.free


def _at_once(self: PostAssigner, now: float, name: str, post: Any) -> bool:
    """A post is given away while its holder may think that it holds it."""
    return True


def _no_leases(self: PostAssigner, now: float, name: str, post: Any) -> bool:
    """A fresh leader takes every lease that it does not know for run out."""
    if post.owner is not None and post.owner not in self.leases:
        return True
    return _free(self, now, name, post)


def _any_status(self: PostAssigner, now: float, name: str, post: Any) -> bool:
    """A status that does not name a post frees it, whenever it was sent."""
    heard, out = self.heard.get(post.owner), self.leaving.get(name)
    if heard and out and post.token.group not in heard.holding:
        return True
    return _free(self, now, name, post)


def _any_token(self: Posts, agent: int, incarnation: int, reports: list[Any]) -> int:
    """Reports are taken from whoever sends them."""
    for report in reports:
        if post := self.posts.get(report.post):
            post.report_count += 1
    return 0


def _for_good(self: Holder, now: float) -> dict[str, Token]:
    """A holder goes on until it is told otherwise."""
    return self.posts


def _any_answer(self: Holder, now: float, number: int, posts: Iterable[tuple[str, Token]]) -> None:
    """Answers count from when they come, and late ones, too."""
    self.applied, self.until, self.posts = max(number, self.applied), now + self.terms.group, dict(posts)


def _own_word(self: Member, now: float, done: Callable[[float, Effects], None], out: Effects) -> bool:
    """A leader answers reads without asking whether it still leads."""
    if self.role is not Role.LEADER or self.commit_index < self.noop_index:
        return False
    done(now, out)
    return True


_books = LeaderService.books


@contextlib.contextmanager
def _old_books() -> Iterator[None]:
    """Books of up to five seconds ago, as from a copy that lags."""
    kept: dict[tuple[int, str], tuple[float, Any]] = {}

    def books(self: LeaderService, site: str, number: int) -> Any:
        now = self.member.heartbeat_at
        at, found = kept.get((id(self), site), (-1e9, None))
        if now - at > 5.0:
            found = _books(self, site, number)
            kept[id(self), site] = now, found
        return msgspec.structs.replace(found, number=number)

    with mock.patch.object(LeaderService, "books", books):
        yield


@contextlib.contextmanager
def _late_answers() -> Iterator[None]:
    with mock.patch.object(Holder, "answered", _any_answer):
        yield


# name: what patches the program, the counts that show it
MUTANTS: dict[str, tuple[Callable[[], contextlib.AbstractContextManager[Any]], tuple[str, ...]]] = {
    "a post given away at once": (patch(PostAssigner, "free", _at_once), ("two_owners",)),
    "a fresh leader knows no leases": (patch(PostAssigner, "free", _no_leases), ("two_owners",)),
    "any status frees a post": (patch(PostAssigner, "free", _any_status), ("two_owners",)),
    "reports under any token": (patch(Posts, "record_reports", _any_token), ("late_harm",)),
    "a holder's lease never ends": (patch(Holder, "held", _for_good), ("two_owners",)),
    "books that lag": (_old_books, ("stale_reads",)),
    "reads without asking a majority": (patch(Member, "read", _own_word), ("stale_reads",)),
    "late answers count from when they come": (_late_answers, ("two_owners",)),
}
