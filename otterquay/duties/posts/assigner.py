"""The leader's side of the posts: which agents are heard, who may still hold which post, and what to reassign now.

A post is taken from an agent in two steps: the leader omits it from its answers to that agent, and reassigns it
once the agent has applied such an answer or its lease has expired. So no two agents hold a post at a time by
their own clocks; if a clock is wrong, the fencing token tells them apart. A new leader knows no leases, so it
waits for the duration of one before it treats the posts of agents that it has not heard as free.
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

SETTLED_S = 2.0  # how long an agent must be heard without a gap before it is assigned posts
PLACEMENT_INTERVAL_S = 0.25
MIN_WEIGHT = 1 / 8  # of an agent that falls behind repeatedly
BAR_FACTOR = 4.0  # times `owes`: how long an agent that was behind with a post is barred from it


@dataclass(slots=True)
class Heard:
    """An agent's newest status, and since when statuses have come without a gap."""

    at: float
    since: float
    incarnation: int
    number: int
    applied: int
    holding: frozenset[int]


@dataclass(slots=True)
class Leaving:
    """A post being taken from its holder; `number` is the first status whose answer omitted it, if any yet."""

    token: Token
    number: int | None = None


@dataclass(slots=True)
class PostAssigner:
    """Assigns posts to agents. Volatile, one per term; times are seconds of the leader's clock.

    `gap` is the time without a status after which an agent is assigned no more posts. Leases of agents that this
    leader has not heard are counted from `since`.
    """

    terms: LeaseTerms
    gap: float
    since: float
    progress: Progress
    heard: dict[int, Heard] = field(default_factory=dict)
    leases: dict[int, float] = field(default_factory=dict)  # when an agent's lease ends
    leaving: dict[str, Leaving] = field(default_factory=dict)
    barred_until: dict[tuple[str, int], float] = field(default_factory=dict)
    behind_at: dict[int, list[float]] = field(default_factory=dict)  # when an agent was found behind
    pending: set[str] = field(default_factory=set)  # posts of the proposed assignment that is not yet committed
    next_at: float = 0.0
    relieved: int = 0  # how often an agent was barred from a post
    indexed: int = -1  # number of the assignment that `by_owner` reflects
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
        """Handles a status: returns the posts that the agent holds from now on, None if the status is outdated."""
        was = self.heard.get(agent)
        if was and was.incarnation == incarnation and number <= was.number:
            return None
        if was and was.incarnation != incarnation and not is_later(incarnation, was.incarnation):
            return None
        since = was.since if was and was.incarnation == incarnation and now - was.at <= self.gap else now
        self.heard[agent] = Heard(now, since, incarnation, number, applied, frozenset(holding))
        if self.indexed != state.assigned:  # per assignment, not per status, which would cost agents times posts
            self.indexed, self.by_owner = state.assigned, {}
            for name, post in state.posts.items():
                self.by_owner.setdefault(post.owner, []).append(name)
        granted = []
        for name in self.by_owner.get(agent, ()):
            post = state.posts[name]
            if post.incarnation != incarnation:
                continue
            if name in self.pending:
                continue  # it is reassigned as soon as the proposal is committed
            leaving = self.leaving.get(name)
            if leaving is None or leaving.token != post.token:
                granted.append((name, post.token))
            elif leaving.number is None:
                leaving.number = number
        self.leases[agent] = now + self.terms.group
        return granted

    def agent_left(self, agent: int) -> None:
        """Handles an agent that shuts down and has given up all of its posts."""
        if was := self.heard.get(agent):
            was.at = was.since = -1e9  # its status number is kept, so that older statuses are ignored
        self.leases[agent] = -1e9

    def free(self, now: float, name: str, post: Post) -> bool:
        """Whether no agent can still consider itself the holder of the post."""
        if post.owner is None:
            return True
        heard, leaving = self.heard.get(post.owner), self.leaving.get(name)
        if heard and heard.incarnation != post.incarnation:
            return True  # a later incarnation is heard, so the one that held the post has ended
        if now > self.leases.get(post.owner, self.since + self.terms.group):
            return True
        return bool(
            heard
            and leaving
            and leaving.token == post.token
            and leaving.number is not None
            and heard.applied >= leaving.number
            and post.token.group not in heard.holding
        )

    def weights(self, now: float) -> dict[int, float]:
        """Weights of the agents that may hold posts; each time an agent fell behind recently halves its weight."""
        span = 4 * BAR_FACTOR * self.progress.owes
        for agent, times in list(self.behind_at.items()):
            self.behind_at[agent] = [at for at in times if now - at < span]
            if not self.behind_at[agent]:
                del self.behind_at[agent]
        return {
            agent: max(0.5 ** len(self.behind_at.get(agent, ())), MIN_WEIGHT)
            for agent, h in sorted(self.heard.items())
            if now - h.at <= self.gap and now - h.since >= SETTLED_S
        }

    def step(self, now: float, wanted: Sequence[str], state: Posts) -> list[Placed]:
        """Returns the moves to propose now; to be called from `next_at` on."""
        self.next_at = now + PLACEMENT_INTERVAL_S
        for name, agent in self.progress.posts(now, state):
            heard = self.heard.get(agent)
            if heard is None or now - heard.at > self.gap:
                continue  # the agent is down: its lease expires, and it is not counted as behind
            # at most half of the agents are barred from one post
            barred = sum(post == name and until > now for (post, _), until in self.barred_until.items())
            if self.barred_until.get((name, agent), -1e9) < now and 2 * (barred + 1) <= len(self.heard):
                self.barred_until[name, agent] = now + BAR_FACTOR * self.progress.owes
                self.behind_at.setdefault(agent, []).append(now)
                self.relieved += 1
        self.barred_until = {at: until for at, until in self.barred_until.items() if until > now}
        if self.pending:
            return []  # wait until the proposed assignment is committed or this leader steps down
        weights = self.weights(now)
        moves = self._moves(now, wanted, state, weights)[:MAX_MOVES]
        self.pending = {move.post for move in moves}
        return moves

    def settled(self) -> None:
        """Allows the next proposal: the last one has been applied, or was not accepted."""
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
                continue  # its holder is not heard and may still hold it
            movable.append(name)
        placement = place_posts(
            movable,
            weights,
            held,
            lambda name, agent: self.barred_until.get((name, agent), -1e9) > now,
            len(wanted) - len(movable),
        )
        moves = []
        for name, agent in placement.items():
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
