"""The leader's side: whom it hears, who may still think that they hold what, and which posts change hands now.

A post is taken from an agent in two steps: the leader leaves it out of what it tells that agent, and assigns it
anew once the agent has applied such an answer, or its lease has run out. So no two hold one at a time, by their
own clocks; where a clock is wrong the token tells them apart. A fresh leader knows no leases and waits for one of
them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from otterquay.cores.incarnations import is_later
from otterquay.duties.lease import LeaseTerms
from otterquay.duties.posts.placement import place_posts
from otterquay.duties.posts.progress import Progress
from otterquay.duties.posts.records import MAX_MOVES, Placed, Post, Posts
from otterquay.duties.token import Token

SETTLED_S = 2.0  # an agent is heard for so long before it is handed anything
PLACEMENT_INTERVAL_S = 0.25
SLOWEST = 1 / 8  # the least part of an agent that is behind again and again
BARRED = 4.0  # times `owes`: how long one that was behind is not given that post


@dataclass(slots=True)
class Heard:
    """An agent's newest status, and since when it has been heard without a gap."""

    at: float
    since: float
    incarnation: int
    number: int
    applied: int
    holding: frozenset[int]


@dataclass(slots=True)
class Leaving:
    """A post on its way out of an agent's hands: the first status whose answer left it out, once there is one."""

    token: Token
    number: int | None = None


@dataclass(slots=True)
class PostAssigner:
    """Volatile, one for each term. `gap` is after how long unheard an agent gets no more. Seconds of this clock."""

    terms: LeaseTerms
    gap: float
    since: float
    progress: Progress
    heard: dict[int, Heard] = field(default_factory=dict)
    leases: dict[int, float] = field(default_factory=dict)
    leaving: dict[str, Leaving] = field(default_factory=dict)
    bars: dict[tuple[str, int], float] = field(default_factory=dict)
    marks: dict[int, list[float]] = field(default_factory=dict)  # when an agent was found behind
    pending: set[str] = field(default_factory=set)  # posts of the assignment that is on its way into the log
    next_at: float = 0.0
    relieved: int = 0
    indexed: int = -1  # up to which assignment posts are known by owner
    by_owner: dict[int | None, list[str]] = field(default_factory=dict)

    def status(
        self,
        now: float,
        agent: int,
        incarnation: int,
        number: int,
        applied: int,
        holding: Sequence[int],
        state: Posts,
    ) -> list[tuple[str, Token]] | None:
        """What the agent holds from now on; None for a status that is older than one answered."""
        was = self.heard.get(agent)
        if was and was.incarnation == incarnation and number <= was.number:
            return None
        if was and was.incarnation != incarnation and not is_later(incarnation, was.incarnation):
            return None
        since = was.since if was and was.incarnation == incarnation and now - was.at <= self.gap else now
        self.heard[agent] = Heard(now, since, incarnation, number, applied, frozenset(holding))
        if self.indexed != state.assigned:  # once an assignment, not once a status: agents times posts are many
            self.indexed, self.by_owner = state.assigned, {}
            for name, post in state.posts.items():
                self.by_owner.setdefault(post.owner, []).append(name)
        told = []
        for name in self.by_owner.get(agent, ()):
            post = state.posts[name]
            if post.incarnation != incarnation:
                continue
            if name in self.pending:
                continue  # it changes hands as soon as the log has it
            out = self.leaving.get(name)
            if out is None or out.token != post.token:
                told.append((name, post.token))
            elif out.number is None:
                out.number = number
        self.leases[agent] = now + self.terms.group
        return told

    def gone(self, agent: int) -> None:
        """It ends and says so: it has let go of all."""
        if was := self.heard.get(agent):
            was.at = was.since = -1e9  # its number stays known, so that an older status of it counts for nothing
        self.leases[agent] = -1e9

    def free(self, now: float, name: str, post: Post) -> bool:
        """Whether nobody can think any more that they hold it."""
        if post.owner is None:
            return True
        heard, out = self.heard.get(post.owner), self.leaving.get(name)
        if heard and heard.incarnation != post.incarnation:
            return True  # a later start of it speaks: that life has ended
        if now > self.leases.get(post.owner, self.since + self.terms.group):
            return True
        return bool(
            heard
            and out
            and out.token == post.token
            and out.number is not None
            and heard.applied >= out.number
            and post.token.group not in heard.holding
        )

    def weights(self, now: float) -> dict[int, float]:
        """Agents that may hold posts; one that was behind gets half for each time, until that is long ago."""
        span = 4 * BARRED * self.progress.owes
        for agent, times in list(self.marks.items()):
            self.marks[agent] = [at for at in times if now - at < span]
            if not self.marks[agent]:
                del self.marks[agent]
        return {
            agent: max(0.5 ** len(self.marks.get(agent, ())), SLOWEST)
            for agent, h in sorted(self.heard.items())
            if now - h.at <= self.gap and now - h.since >= SETTLED_S
        }

    def step(self, now: float, wanted: Sequence[str], state: Posts) -> list[Placed]:
        """Moves to be proposed now; to be called from `next_at` on."""
        self.next_at = now + PLACEMENT_INTERVAL_S
        for name, agent in self.progress.posts(now, state):
            heard = self.heard.get(agent)
            if heard is None or now - heard.at > self.gap:
                continue  # it is not there: its lease ends by itself, and nothing is to be held against it
            barred = sum(post == name and until > now for (post, _), until in self.bars.items())
            if self.bars.get((name, agent), -1e9) < now and 2 * (barred + 1) <= len(self.heard):
                self.bars[name, agent] = now + BARRED * self.progress.owes
                self.marks.setdefault(agent, []).append(now)
                self.relieved += 1
        self.bars = {at: until for at, until in self.bars.items() if until > now}
        if self.pending:
            return []  # what this leader has proposed comes into the log, or it leads no more
        weights = self.weights(now)
        moves = self._moves(now, wanted, state, weights)[:MAX_MOVES]
        self.pending = {move.post for move in moves}
        return moves

    def settled(self) -> None:
        """The assignment is in the log, or was not taken into it."""
        self.pending.clear()

    def _moves(self, now: float, wanted: Sequence[str], state: Posts, weights: Mapping[int, float]) -> list[Placed]:
        held: dict[str, int] = {}
        movable = []
        for name in wanted:
            post = state.posts.get(name)
            owner = post.owner if post is not None else None
            if (
                post is not None
                and owner in weights
                and owner is not None
                and self.heard[owner].incarnation == post.incarnation
            ):
                held[name] = owner
            elif post is not None and not self.free(now, name, post):
                continue  # its holder is not heard, and may still hold it
            movable.append(name)
        found = place_posts(
            movable,
            weights,
            held,
            lambda name, agent: self.bars.get((name, agent), -1e9) > now,
            len(wanted) - len(movable),
        )
        moves = []
        for name, agent in found.items():
            post = state.posts.get(name)
            incarnation = self.heard[agent].incarnation
            if post is not None and (post.owner, post.incarnation) == (agent, incarnation):
                self.leaving.pop(name, None)
            elif post is None or self.free(now, name, post):
                self.leaving.pop(name, None)
                moves.append(Placed(name, agent, incarnation))
            elif name not in self.leaving or self.leaving[name].token != post.token:
                self.leaving[name] = Leaving(post.token)
        return moves
