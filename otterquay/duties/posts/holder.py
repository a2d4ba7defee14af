"""The agent's side of the posts: which it holds, and until when.

The leader's answers to the agent's statuses renew its lease, which counts from when the status was sent, so
renewals need no log entries. Only answers to newer statuses count: a late answer neither adds nor removes posts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from otterquay.duties.lease import LeaseTerms
from otterquay.duties.token import Token

MAX_SENT_STATUSES = 64  # statuses that may still be answered


@dataclass(slots=True)
class Holder:
    """The posts that this agent holds. Times are seconds of its own clock."""

    terms: LeaseTerms
    number: int = 0
    applied: int = 0
    until: float = -1e9
    posts: dict[str, Token] = field(default_factory=dict)
    _sent: dict[int, float] = field(default_factory=dict)

    def status(self, now: float) -> tuple[int, int, list[int]]:
        """Content of a status that is sent now: its number, the newest answered number applied, the tokens held."""
        self.number += 1
        self._sent[self.number] = now
        while len(self._sent) > MAX_SENT_STATUSES:
            del self._sent[next(iter(self._sent))]
        return self.number, self.applied, sorted(token.group for token in self.held(now).values())

    def answered(self, now: float, number: int, posts: Iterable[tuple[str, Token]]) -> None:
        """Handles the leader's answer to the status `number`."""
        sent = self._sent.get(number)
        if sent is None or number <= self.applied:
            return
        self.applied, self.until, self.posts = number, sent + self.terms.owner, dict(posts)

    def held(self, now: float) -> dict[str, Token]:
        """The posts held now, with their tokens."""
        if now >= self.until:
            self.posts = {}
        return self.posts

    def drop(self) -> None:
        """Gives up all posts until the leader's next answer: the agent shuts down or begins a new incarnation."""
        self.posts, self.until = {}, -1e9
