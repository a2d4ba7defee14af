"""The agent's side: which posts it holds, and for how long it may think so.

Its lease is renewed by the leader's answers to its statuses and counts from when the status was sent, so that no
entry of the log is spent on renewals. Only answers to newer statuses count: a late one takes nothing back and
gives nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from otterquay.duties.lease import LeaseTerms
from otterquay.duties.token import Token

MAX_SENT_STATUSES = 64  # statuses whose answer may still come


@dataclass(slots=True)
class Holder:
    """Times are seconds of this agent's clock."""

    terms: LeaseTerms
    number: int = 0
    applied: int = 0
    until: float = -1e9
    posts: dict[str, Token] = field(default_factory=dict)
    _sent: dict[int, float] = field(default_factory=dict)

    def status(self, now: float) -> tuple[int, int, list[int]]:
        """For a status that leaves now: its number, the newest answer applied, and the tokens held."""
        self.number += 1
        self._sent[self.number] = now
        while len(self._sent) > MAX_SENT_STATUSES:
            del self._sent[next(iter(self._sent))]
        return self.number, self.applied, sorted(token.group for token in self.held(now).values())

    def answered(self, now: float, number: int, posts: Iterable[tuple[str, Token]]) -> None:
        """The leader's answer to that status."""
        sent = self._sent.get(number)
        if sent is None or number <= self.applied:
            return
        self.applied, self.until, self.posts = number, sent + self.terms.owner, dict(posts)

    def held(self, now: float) -> dict[str, Token]:
        """What may be acted on now."""
        if now >= self.until:
            self.posts = {}
        return self.posts

    def drop(self) -> None:
        """Hold nothing, until the leader says again what is held: this agent ends, or begins a new life."""
        self.posts, self.until = {}, -1e9
