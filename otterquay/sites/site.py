"""One agent's part in its site: whether the group is lost, who coordinates, what the coordinator may do.

A coordinator is elected by a majority of all agents of the site, none of whom has heard the group for `lost`,
directly or through another. Its token lies above the group's last grant for the site and below the next one.
It acts once a majority has written down that it follows this token, and reserves servers with a majority
before it orders them, so that its successor knows: what a majority has written down, every later majority
meets. Clocks decide when, never whether: tokens do that at every receiver.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from otterquay.cores.lives import later
from otterquay.cores.out import Out
from otterquay.duties.commands import Act
from otterquay.duties.token import NONE, Token
from otterquay.sites import messages as ms
from otterquay.sites.journal import Journal

SITE, STATE = "site", b"state"
FOLLOWED_MOST = 64
WORDS = 6  # agents that are told at a time how long ago the group was heard
UNKNOWN = 2**62  # barred until the group has said whether this agent was ever here


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds. `lost` without the group makes an election possible, `back` with it ends a coordinator."""

    word: float = 0.25
    lost: float = 4.0
    back: float = 1.0
    lead: float = 0.25
    lease: float = 1.5  # a coordinator without a majority's answers for this long stops; none is elected meanwhile


class Role(Enum):
    """What an agent is in its site."""

    NONE = "none"
    ASKING = "asking"
    STANDING = "standing"
    COORDINATOR = "coordinator"


class StoredState(msgspec.Struct, array_like=True):
    """What the disk has: no newer token than `newest` was promised to anyone but `voted`."""

    newest: Token = NONE
    voted: int | None = None
    followed: list[Token] = []
    allowed: int = 0
    spent: int = 0
    caps: dict[int, float] = {}
    lives: dict[int, int] = {}  # the newest start that each other agent was heard in
    barred_until: int = -1  # no vote before a settlement later than this grant: what was promised went with a disk


@dataclass(slots=True)
class Reserve:
    """An order that waits until a majority has written down that its servers are spent."""

    number: int  # the beat that says so
    entry: int  # its place in the journal
    act: Act


@dataclass(slots=True)
class Site:
    """The site as one agent sees it. `agents` are all of the site, this one among them."""

    me: int
    agents: Sequence[int]
    rng: random.Random
    stored: StoredState
    journal: Journal
    times: Times = field(default_factory=Times)
    back_votes: int = 1
    life: int = 1
    role: Role = Role.NONE
    token: Token = NONE  # of the role
    group_heard_at: float = -1e9  # of the group
    back_since: float | None = None
    followed_at: float = -1e9  # of a coordinator
    following: Token = NONE
    elect_at: float = 0.0
    next_word_at: float = 0.0
    next_lead_at: float = 0.0
    votes: dict[int, ms.Answer] = field(default_factory=dict)
    acked: dict[int, tuple[int, float]] = field(default_factory=dict)  # newest beat and when, by agent
    others: dict[int, float] = field(default_factory=dict)  # when each other agent last heard the group, our clock
    number: int = 0
    reserves: list[Reserve] = field(default_factory=list)
    ready: list[tuple[Token, int, Act]] = field(default_factory=list)  # orders that may go to the yard now
    ballots: dict[int, set[int]] = field(default_factory=dict)
    elections: int = 0
    turn: int = 0  # whose turn it is to be told

    @classmethod
    def load(
        cls,
        me: int,
        agents: Sequence[int],
        rng: random.Random,
        stored: bytes | None,
        journal: Journal,
        now: float,
        times: Times,
        back_votes: int,
        life: int,
        out: Out,
    ) -> Site:
        """With what the disk holds. msgspec.MsgspecError: it cannot be right."""
        state: StoredState = (
            msgspec.msgpack.decode(stored, type=StoredState)
            if stored is not None
            else StoredState(barred_until=UNKNOWN)
        )
        site = cls(me, agents, rng, state, journal, times, back_votes, life)
        if stored is None:  # an empty disk may have promised anything
            site._keep(out)
        site.group_heard_at = site.followed_at = now  # nothing was lost yet that this start could know of
        site._wait(now)
        return site

    def _keep(self, out: Out) -> None:
        out.write(SITE, STATE, msgspec.msgpack.encode(self.stored))

    def _wait(self, now: float) -> None:
        self.elect_at = now + self.times.lost * (0.25 + 0.75 * self.rng.random())

    @property
    def majority(self) -> int:
        """Of all agents of the site, whether they run or not."""
        return len(self.agents) // 2 + 1

    @property
    def acting(self) -> bool:
        """Whether this agent coordinates and a majority has written that down."""
        return self.role is Role.COORDINATOR and 1 + len(self.acked) >= self.majority

    def group_lost(self, now: float) -> bool:
        """Whether the group has not been heard for so long, by any way."""
        return now - self.group_heard_at > self.times.lost

    def due(self) -> float:
        """When `tick` has something to do."""
        return min(self.next_word_at, self.next_lead_at if self.role is Role.COORDINATOR else self.elect_at)

    # --- the group ---
    def upstream(
        self, now: float, newest: Token, allowed: int, settled: int, floor: Token, closed: Sequence[Token], out: Out
    ) -> None:
        """The group was heard, directly or through another: its newest grant for this site, and journals it has."""
        if self.group_lost(now) or self.back_since is None:
            self.back_since = now
        stored = self.stored
        self.group_heard_at = now
        followed = [t for t in stored.followed if t > floor and t not in closed]
        if 0 <= stored.barred_until < floor.group:  # all that was promised before is settled with the group
            stored.barred_until = -1
            self._keep(out)
        if (
            newest > stored.newest
            or allowed > stored.allowed
            or settled > stored.spent
            or followed != stored.followed
        ):
            if newest > stored.newest:
                stored.newest, stored.voted = newest, None
            stored.allowed, stored.followed = max(stored.allowed, allowed), followed
            stored.spent = max(stored.spent, settled)
            self._keep(out)
        if self.following == NONE and stored.caps:  # what held in the site alone ends with the cut
            stored.caps = {}
            self._keep(out)
        if self.role is Role.COORDINATOR and (now - self.back_since >= self.times.back or newest > self.token):
            self.stop(now, "the group is back", out)
        elif self.role in (Role.ASKING, Role.STANDING):
            self._rest(now)

    def joined(self, known: bool, newest: Token, out: Out) -> None:
        """The group's word on an empty or older disk: one that was never here has promised nothing."""
        if self.stored.barred_until == UNKNOWN:
            self.stored.barred_until = newest.group if known else -1
            self._keep(out)

    def _rest(self, now: float) -> None:
        self.role, self.token = Role.NONE, NONE
        self.votes.clear()
        self.acked.clear()
        self.reserves.clear()
        self.ready.clear()
        self.ballots.clear()
        self._wait(now)

    def stop(self, now: float, reason: str, out: Out) -> None:
        """Act no longer; the journal stays until the group has it."""
        token = self.token
        out.say("coordinator_stops", token=str(token), reason=reason)
        self._rest(now)
        for agent in self.agents:
            if agent != self.me:
                out.send(agent, ms.Released(token))
        self.released(self.me, ms.Released(token), out)

    # --- time ---
    def tick(self, now: float, out: Out) -> None:
        """Time has passed."""
        if now >= self.next_word_at:
            self.next_word_at = now + self.times.word
            others = [a for a in self.agents if a != self.me]
            for _ in range(min(WORDS, len(others))):  # in turn, so that a large site costs no agent more
                self.turn = (self.turn + 1) % len(others)
                out.send(others[self.turn], ms.Word(min(max(now - self.group_heard_at, 0.0), 1e9), self.life))
        if self.group_lost(now):
            self.back_since = None
        if self.role is not Role.COORDINATOR and now - self.followed_at > self.times.lease:
            self.following = NONE
        if self.role is Role.COORDINATOR:
            fresh = 1 + sum(now - at <= self.times.lease for _, at in self.acked.values())
            if fresh < self.majority and now - self.followed_at > self.times.lease:
                return self.stop(now, "no majority of the site answers", out)
            if now >= self.next_lead_at:
                self._beat(now, out)
        elif now >= self.elect_at:
            if self._may_vote(now) and self.stored.barred_until < 0:
                self._start_election(now, True, out)
            else:
                self._wait(now)

    def _may_vote(self, now: float) -> bool:
        return self.group_lost(now) and now - self.followed_at > self.times.lease

    def receive(self, now: float, sender: int, message: ms.Message, out: Out) -> None:
        """A message of another agent of the site."""
        if sender == self.me or sender not in self.agents:
            return
        if isinstance(message, ms.Word | ms.Answer | ms.Followed) and not self._newest(sender, message.life, out):
            return
        match message:
            case ms.Older():
                if message.life != self.life and not later(self.life, message.life):
                    self.bar_votes(now, out)
            case ms.Word():
                self.others[sender] = now - message.heard
            case ms.Ask():
                self._asked(now, sender, message, out)
            case ms.Answer():
                self._answered(now, sender, message, out)
            case ms.Lead():
                self._lead(now, sender, message, out)
            case ms.Followed():
                self._followed(now, sender, message, out)
            case ms.Released():
                self.released(sender, message, out)
            case ms.Ballot():
                self.ballot(sender, message, out)

    def _newest(self, sender: int, life: int, out: Out) -> bool:
        """Whether an agent speaks from the newest start that it was heard in; an older disk has forgotten
        promises.
        """
        known = self.stored.lives.get(sender, 0)
        if later(life, known):
            self.stored.lives[sender] = life
            self._keep(out)
        elif life != known:
            out.send(sender, ms.Older(known))
            return False
        return True

    def bar_votes(self, now: float, out: Out) -> None:
        """What this disk has promised is not known: no vote until it is settled with the group."""
        if self.role is Role.COORDINATOR:
            self.stop(now, "this disk is an older copy", out)
        self._rest(now)
        if self.stored.barred_until < 0:
            out.say("site_votes_barred", life=self.life)
            self.stored.barred_until = UNKNOWN
            self._keep(out)

    # --- elections ---
    def _start_election(self, now: float, pre: bool, out: Out) -> None:
        stored = self.stored
        self.role = Role.ASKING if pre else Role.STANDING
        self.token = Token(stored.newest.group, stored.newest.term + 1)
        if not pre:
            stored.newest, stored.voted = self.token, self.me
            self._keep(out)
        self._wait(now)
        mine = ms.Answer(
            self.token, pre, True, self.token, stored.allowed, stored.spent, dict(stored.caps), self.life
        )
        self.votes = {self.me: mine}
        for agent in self.agents:
            if agent != self.me:
                out.send(agent, ms.Ask(self.token, pre))
        if len(self.votes) >= self.majority:
            self._won(now, pre, out)

    def _asked(self, now: float, sender: int, ask: ms.Ask, out: Out) -> None:
        stored = self.stored
        granted = (
            stored.barred_until < 0
            and self._may_vote(now)
            and self.role is not Role.COORDINATOR
            and (
                ask.token > stored.newest or (not ask.pre and ask.token == stored.newest and stored.voted == sender)
            )
        )
        if granted and not ask.pre:
            if ask.token > stored.newest:
                stored.newest, stored.voted = ask.token, sender
                self._keep(out)
            self._rest(now)
        out.send(
            sender,
            ms.Answer(
                ask.token,
                ask.pre,
                granted,
                stored.newest,
                stored.allowed,
                stored.spent,
                dict(stored.caps),
                self.life,
            ),
        )

    def _answered(self, now: float, sender: int, answer: ms.Answer, out: Out) -> None:
        if answer.newest > self.stored.newest and not answer.granted:
            self.stored.newest, self.stored.voted = answer.newest, None  # the next try is above it
            self._keep(out)
        if answer.token != self.token or not answer.granted:
            return
        if self.role is (Role.ASKING if answer.pre else Role.STANDING):
            self.votes[sender] = answer
            if len(self.votes) >= self.majority:
                self._won(now, answer.pre, out)

    def _won(self, now: float, pre: bool, out: Out) -> None:
        if pre:
            return self._start_election(now, False, out)
        stored = self.stored
        stored.allowed = max(v.allowed for v in self.votes.values())
        stored.spent = max(v.spent for v in self.votes.values())
        for vote in self.votes.values():
            self._lower(vote.caps)
        self.role, self.elections = Role.COORDINATOR, self.elections + 1
        self._note(self.token)
        self.journal.begin(self.token, out)
        self._keep(out)
        self.acked.clear()
        self.following, self.followed_at = self.token, now
        out.say("coordinates", token=str(self.token), allowed=stored.allowed, spent=stored.spent)
        self._beat(now, out)

    def _note(self, token: Token) -> None:
        if token not in self.stored.followed:
            self.stored.followed = [*self.stored.followed[-FOLLOWED_MOST:], token]

    def _lower(self, caps: dict[int, float]) -> None:
        for build, cap in caps.items():
            self.stored.caps[build] = min(cap, self.stored.caps.get(build, 1.0))
        while len(self.stored.caps) > 256:
            del self.stored.caps[min(self.stored.caps)]

    # --- the coordinator ---
    def _beat(self, now: float, out: Out) -> None:
        self.next_lead_at = now + self.times.lead
        self.number += 1
        for agent in self.agents:
            if agent != self.me:
                out.send(agent, ms.Lead(self.token, self.number, self.stored.spent, dict(self.stored.caps)))
        if self.majority == 1:
            self._reserved(out)

    def _followed(self, now: float, sender: int, m: ms.Followed, out: Out) -> None:
        if self.role is not Role.COORDINATOR or m.token != self.token:
            return
        if not m.ok:
            return self.stop(now, f"a newer token {m.newest} is known", out)
        self.acked[sender] = (max(m.number, self.acked.get(sender, (0, 0.0))[0]), now)
        if len([1 for n, at in self.acked.values() if now - at <= self.times.lease]) + 1 >= self.majority:
            self.followed_at = now
        self._reserved(out)

    def _reserved(self, out: Out) -> None:
        numbers = sorted([self.number, *(n for n, _ in self.acked.values())], reverse=True)
        sure = numbers[self.majority - 1] if len(numbers) >= self.majority else -1
        for reserve in [r for r in self.reserves if r.number <= sure]:
            self.reserves.remove(reserve)
            self.ready.append((self.token, reserve.entry, reserve.act))

    def order(self, now: float, kind: str, count: int, out: Out) -> bool:
        """Order servers for the site out of what was handed to it; False where there is not so much left."""
        stored = self.stored
        if not self.acting or count <= 0 or stored.spent + count > stored.allowed or self.journal.full(self.token):
            return False
        name = f"{self.token}-{len(self.journal.acts.get(self.token, {}))}-{self.me}"
        act = Act(name, "order", kind, count)
        entry = self.journal.add(self.token, act, out)
        stored.spent += count
        self._keep(out)
        self.reserves.append(Reserve(self.number + 1, entry, act))
        self._beat(now, out)
        return True

    def lower(self, now: float, build: int, cap: float, out: Out) -> bool:
        """Lower a build's cap within the site. It never rises here."""
        if not self.acting or cap >= self.stored.caps.get(build, 1.0) or self.journal.full(self.token):
            return False
        name = f"{self.token}-{len(self.journal.acts.get(self.token, {}))}-{self.me}"
        self.journal.add(self.token, Act(name, "cap", build=build, cap=cap), out)
        self._lower({build: cap})
        self._keep(out)
        self._beat(now, out)
        return True

    def ballot(self, sender: int, ballot: ms.Ballot, out: Out) -> None:
        """An agent's own verdict; as many as the desk would need give the build up within the site."""
        votes = self.ballots.setdefault(ballot.build, set())
        (votes.add if ballot.back else votes.discard)(sender)
        while len(self.ballots) > 16:
            del self.ballots[min(self.ballots)]

    def given_up(self) -> list[int]:
        """Builds that enough agents of the site want back and that still have a cap."""
        return [
            b
            for b, votes in self.ballots.items()
            if len(votes) >= self.back_votes and self.stored.caps.get(b, 1.0) > 0.0
        ]

    # --- those who follow ---
    def _lead(self, now: float, sender: int, m: ms.Lead, out: Out) -> None:
        stored = self.stored
        if m.token < stored.newest or (m.token == stored.newest and stored.voted not in (None, sender)):
            out.send(sender, ms.Followed(m.token, m.number, False, stored.newest, self.life))
            return
        if self.role is not Role.NONE:
            self._rest(now)
        before = msgspec.msgpack.encode(stored)
        stored.newest, stored.voted = m.token, sender
        stored.spent = max(stored.spent, m.spent)
        self._lower(m.caps)
        self._note(m.token)
        if msgspec.msgpack.encode(stored) != before:
            self._keep(out)
        self.following, self.followed_at = m.token, now
        self._wait(now)
        out.send(sender, ms.Followed(m.token, m.number, True, stored.newest, self.life))

    def released(self, sender: int, m: ms.Released, out: Out) -> None:
        """The coordinator of that token has stopped."""
        if m.token == self.following:
            self.following, self.followed_at = NONE, -1e9

    def nearest(self, now: float) -> int | None:
        """The agent of the site that heard the group last, where that is lately."""
        found = max(self.others.items(), key=lambda item: item[1], default=None)
        return found[0] if found and now - found[1] <= self.times.lost else None
