"""One agent's view of its site: detects loss of the group, elects a coordinator, and limits what that may do.

A coordinator is elected by a majority of all agents of the site, none of which has heard the group for `lost`
seconds, directly or through another agent. Its token lies above the group's last grant for the site and below the
next one. It acts once a majority has persisted that it follows this token, and reserves servers with a majority
before ordering them. Any later majority overlaps that one, so a successor knows the reservations. Safety does not
depend on clocks: they only trigger actions, and every receiver checks tokens.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from otterquay.cores.effects import Effects
from otterquay.cores.incarnations import is_later
from otterquay.duties.commands import Act
from otterquay.duties.token import NONE, Token
from otterquay.sites import messages as ms
from otterquay.sites.journal import Journal

SITE = "site"
STATE = b"state"
MAX_FOLLOWED_TOKENS = 64
WORD_FANOUT = 6  # receivers of each round of Word messages
BARRED_UNTIL_JOINED = 2**62  # no vote until the group says whether it knows this agent


@dataclass(frozen=True, slots=True)
class Times:
    """In seconds: `lost` without the group allows an election, `back` with it ends the coordinator's term.

    `word` and `lead` are the intervals between two Word and two Lead messages.
    """

    word: float = 0.25
    lost: float = 4.0
    back: float = 1.0
    lead: float = 0.25
    lease: float = 1.5  # a coordinator that no majority answers for this long stops; until then none is elected


class Role(Enum):
    """An agent's role in its site."""

    NONE = "none"  # follower
    ASKING = "asking"  # collects pre-votes
    STANDING = "standing"  # candidate: collects votes
    COORDINATOR = "coordinator"


class StoredState(msgspec.Struct, array_like=True):
    """State on disk. `voted` is the one agent accepted as coordinator under `newest`; None: not decided yet."""

    newest: Token = NONE
    voted: int | None = None
    followed: list[Token] = []
    allowed: int = 0  # servers that the group has allowed the site, in total
    spent: int = 0  # servers reserved out of these, in total
    caps: dict[int, float] = {}  # by build, lowered by the site itself
    incarnations: dict[int, int] = {}  # newest incarnation heard of each other agent
    # Group number of a grant, or -1 if this agent may vote. It no longer knows the votes that it gave on an earlier
    # disk, so it gives none until the site is settled with the group under a later grant.
    barred_until: int = -1


@dataclass(slots=True)
class ReservedOrder:
    """An order that waits until a majority has persisted its reservation."""

    number: int  # number of the Lead message with the reservation
    entry: int  # number of its journal entry
    act: Act


@dataclass(slots=True)
class Site:
    """The site as one agent sees it. `agents` are all agents of the site, including this one."""

    me: int
    agents: Sequence[int]
    rng: random.Random
    stored: StoredState
    journal: Journal
    times: Times = field(default_factory=Times)
    back_votes: int = 1
    incarnation: int = 1
    role: Role = Role.NONE
    token: Token = NONE  # of the candidacy or the term
    group_heard_at: float = -1e9  # when the group was last heard
    back_since: float | None = None  # since when the group is heard again; None: not heard for `lost` seconds
    followed_at: float = -1e9  # when a coordinator was last heard or confirmed
    following: Token = NONE
    next_election_at: float = 0.0
    next_word_at: float = 0.0
    next_lead_at: float = 0.0
    votes: dict[int, ms.Answer] = field(default_factory=dict)  # by agent: granted votes or pre-votes
    acked: dict[int, tuple[int, float]] = field(default_factory=dict)  # by agent: newest acknowledged Lead and when
    # by agent: when it last heard the group, on the local clock
    others: dict[int, float] = field(default_factory=dict)
    number: int = 0  # of the newest Lead message sent
    reserves: list[ReservedOrder] = field(default_factory=list)
    ready: list[tuple[Token, int, Act]] = field(default_factory=list)  # reserved orders, to be sent to the yard
    ballots: dict[int, set[int]] = field(default_factory=dict)  # by build: agents that voted back
    elections: int = 0
    last_word_index: int = 0  # index of the last receiver of a Word message

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
        incarnation: int,
        out: Effects,
    ) -> Site:
        """Load the state from disk. Raises msgspec.MsgspecError if it is invalid."""
        state: StoredState = (
            msgspec.msgpack.decode(stored, type=StoredState)
            if stored is not None
            else StoredState(barred_until=BARRED_UNTIL_JOINED)
        )
        site = cls(me, agents, rng, state, journal, times, back_votes, incarnation)
        if stored is None:  # votes given before the disk was emptied are unknown
            site._persist(out)
        site.group_heard_at = site.followed_at = now  # gives the group and a coordinator time to be heard
        site._schedule_election(now)
        return site

    def _persist(self, out: Effects) -> None:
        out.write(SITE, STATE, msgspec.msgpack.encode(self.stored))

    def _schedule_election(self, now: float) -> None:
        self.next_election_at = now + self.times.lost * (0.25 + 0.75 * self.rng.random())

    @property
    def majority(self) -> int:
        """The majority of all agents of the site, running or not."""
        return len(self.agents) // 2 + 1

    @property
    def acting(self) -> bool:
        """Whether this agent is coordinator and a majority has persisted that."""
        return self.role is Role.COORDINATOR and 1 + len(self.acked) >= self.majority

    def group_lost(self, now: float) -> bool:
        """Whether the group has not been heard for `lost` seconds, directly or through another agent."""
        return now - self.group_heard_at > self.times.lost

    def due(self) -> float:
        """Return when `tick` has to be called next."""
        return min(self.next_word_at, self.next_lead_at if self.role is Role.COORDINATOR else self.next_election_at)

    # --- the group ---
    def handle_group_heard(
        self,
        now: float,
        newest: Token,
        allowed: int,
        settled: int,
        floor: Token,
        closed: Sequence[Token],
        out: Effects,
    ) -> None:
        """Handle the group's state of this site, received directly or through another agent.

        It gives the newest grant, the allowance, and the journals already handed over.
        """
        if self.group_lost(now) or self.back_since is None:
            self.back_since = now
        stored = self.stored
        self.group_heard_at = now
        followed = [t for t in stored.followed if t > floor and t not in closed]
        if 0 <= stored.barred_until < floor.group:  # everything before the lost votes is settled
            stored.barred_until = -1
            self._persist(out)
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
            self._persist(out)
        if self.following == NONE and stored.caps:  # the site's own caps end when the group is back
            stored.caps = {}
            self._persist(out)
        if self.role is Role.COORDINATOR and (now - self.back_since >= self.times.back or newest > self.token):
            self.stop(now, "the group is back", out)
        elif self.role in (Role.ASKING, Role.STANDING):
            self._reset_role(now)

    def handle_join_result(self, known: bool, newest: Token, out: Effects) -> None:
        """Handle the answer to joining with an empty or older disk: an unknown agent has never voted."""
        if self.stored.barred_until == BARRED_UNTIL_JOINED:
            self.stored.barred_until = newest.group if known else -1
            self._persist(out)

    def _reset_role(self, now: float) -> None:
        self.role, self.token = Role.NONE, NONE
        self.votes.clear()
        self.acked.clear()
        self.reserves.clear()
        self.ready.clear()
        self.ballots.clear()
        self._schedule_election(now)

    def stop(self, now: float, reason: str, out: Effects) -> None:
        """Stop acting as coordinator; the journal is kept until its handover."""
        token = self.token
        out.log("coordinator_stops", token=str(token), reason=reason)
        self._reset_role(now)
        for agent in self.agents:
            if agent != self.me:
                out.send(agent, ms.Released(token))
        self.handle_released(self.me, ms.Released(token), out)

    def learn_token(self, newest: Token, out: Effects) -> None:
        """Store a token that another party knows, if it is newer: the next candidacy uses a higher one."""
        if newest > self.stored.newest:
            self.stored.newest = newest
            self.stored.voted = None
            self._persist(out)

    # --- time ---
    def tick(self, now: float, out: Effects) -> None:
        """Run all work that is due at `now`."""
        if now >= self.next_word_at:
            self.next_word_at = now + self.times.word
            others = [a for a in self.agents if a != self.me]
            # round robin: the load per agent does not grow with the site
            for _ in range(min(WORD_FANOUT, len(others))):
                self.last_word_index = (self.last_word_index + 1) % len(others)
                out.send(
                    others[self.last_word_index],
                    ms.Word(min(max(now - self.group_heard_at, 0.0), 1e9), self.incarnation),
                )
        if self.group_lost(now):
            self.back_since = None
        if self.role is not Role.COORDINATOR and now - self.followed_at > self.times.lease:
            self.following = NONE
        if self.role is Role.COORDINATOR:
            answering = 1 + sum(now - at <= self.times.lease for _, at in self.acked.values())
            if answering < self.majority and now - self.followed_at > self.times.lease:
                return self.stop(now, "no majority of the site answers", out)
            if now >= self.next_lead_at:
                self._send_lead(now, out)
        elif now >= self.next_election_at:
            if self._may_elect(now) and self.stored.barred_until < 0:
                self._start_election(now, True, out)
            else:
                self._schedule_election(now)

    def _may_elect(self, now: float) -> bool:
        return self.group_lost(now) and now - self.followed_at > self.times.lease

    def receive(self, now: float, sender: int, message: ms.Message, out: Effects) -> None:
        """Handle a message from another agent of the site."""
        if sender == self.me or sender not in self.agents:
            return
        if isinstance(message, ms.Word | ms.Answer | ms.Followed) and not self._is_current_incarnation(
            sender, message.incarnation, out
        ):
            return
        match message:
            case ms.Older():
                if message.incarnation != self.incarnation and not is_later(self.incarnation, message.incarnation):
                    self.bar_votes(now, out)
            case ms.Word():
                self.others[sender] = now - message.heard
            case ms.Ask():
                self._handle_ask(now, sender, message, out)
            case ms.Answer():
                self._handle_answer(now, sender, message, out)
            case ms.Lead():
                self._handle_lead(now, sender, message, out)
            case ms.Followed():
                self._handle_followed(now, sender, message, out)
            case ms.Released():
                self.handle_released(sender, message, out)
            case ms.Ballot():
                self.record_ballot(sender, message, out)

    def _is_current_incarnation(self, sender: int, incarnation: int, out: Effects) -> bool:
        """Whether `incarnation` is the sender's newest known one; if not, its message is ignored and it is told.

        Any other runs on an older copy of the sender's disk, which lacks the votes given since.
        """
        known = self.stored.incarnations.get(sender, 0)
        if is_later(incarnation, known):
            self.stored.incarnations[sender] = incarnation
            self._persist(out)
        elif incarnation != known:
            out.send(sender, ms.Older(known))
            return False
        return True

    def bar_votes(self, now: float, out: Effects) -> None:
        """Bar this agent from voting until settled with the group: its disk is older than votes it has given."""
        if self.role is Role.COORDINATOR:
            self.stop(now, "this disk is an older copy", out)
        self._reset_role(now)
        if self.stored.barred_until < 0:
            out.log("site_votes_barred", life=self.incarnation)
            self.stored.barred_until = BARRED_UNTIL_JOINED
            self._persist(out)

    # --- elections ---
    def _start_election(self, now: float, pre: bool, out: Effects) -> None:
        stored = self.stored
        self.role = Role.ASKING if pre else Role.STANDING
        self.token = Token(stored.newest.group, stored.newest.term + 1)
        if not pre:
            stored.newest, stored.voted = self.token, self.me
            self._persist(out)
        self._schedule_election(now)
        own_vote = ms.Answer(
            self.token, pre, True, self.token, stored.allowed, stored.spent, dict(stored.caps), self.incarnation
        )
        self.votes = {self.me: own_vote}
        for agent in self.agents:
            if agent != self.me:
                out.send(agent, ms.Ask(self.token, pre))
        if len(self.votes) >= self.majority:
            self._handle_majority(now, pre, out)

    def _handle_ask(self, now: float, sender: int, ask: ms.Ask, out: Effects) -> None:
        stored = self.stored
        granted = (
            stored.barred_until < 0
            and self._may_elect(now)
            and self.role is not Role.COORDINATOR
            and (
                ask.token > stored.newest or (not ask.pre and ask.token == stored.newest and stored.voted == sender)
            )
        )
        if granted and not ask.pre:
            if ask.token > stored.newest:
                stored.newest, stored.voted = ask.token, sender
                self._persist(out)
            self._reset_role(now)
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
                self.incarnation,
            ),
        )

    def _handle_answer(self, now: float, sender: int, answer: ms.Answer, out: Effects) -> None:
        if not answer.granted:
            self.learn_token(answer.newest, out)
        if answer.token != self.token or not answer.granted:
            return
        if self.role is (Role.ASKING if answer.pre else Role.STANDING):
            self.votes[sender] = answer
            if len(self.votes) >= self.majority:
                self._handle_majority(now, answer.pre, out)

    def _handle_majority(self, now: float, pre: bool, out: Effects) -> None:
        if pre:
            return self._start_election(now, False, out)
        stored = self.stored
        stored.allowed = max(v.allowed for v in self.votes.values())
        stored.spent = max(v.spent for v in self.votes.values())
        for vote in self.votes.values():
            self._merge_caps(vote.caps)
        self.role, self.elections = Role.COORDINATOR, self.elections + 1
        self._record_followed(self.token)
        self.journal.open_term(self.token, out)
        self._persist(out)
        self.acked.clear()
        self.following, self.followed_at = self.token, now
        out.log("coordinates", token=str(self.token), allowed=stored.allowed, spent=stored.spent)
        self._send_lead(now, out)

    def _record_followed(self, token: Token) -> None:
        if token not in self.stored.followed:
            self.stored.followed = [*self.stored.followed[-MAX_FOLLOWED_TOKENS:], token]

    def _merge_caps(self, caps: dict[int, float]) -> None:
        for build, cap in caps.items():
            self.stored.caps[build] = min(cap, self.stored.caps.get(build, 1.0))
        while len(self.stored.caps) > 256:
            del self.stored.caps[min(self.stored.caps)]

    # --- the coordinator ---
    def _send_lead(self, now: float, out: Effects) -> None:
        self.next_lead_at = now + self.times.lead
        self.number += 1
        for agent in self.agents:
            if agent != self.me:
                out.send(agent, ms.Lead(self.token, self.number, self.stored.spent, dict(self.stored.caps)))
        if self.majority == 1:
            self._release_reserved(out)

    def _handle_followed(self, now: float, sender: int, message: ms.Followed, out: Effects) -> None:
        if self.role is not Role.COORDINATOR or message.token != self.token:
            return
        if not message.ok:
            return self.stop(now, f"a newer token {message.newest} is known", out)
        self.acked[sender] = (max(message.number, self.acked.get(sender, (0, 0.0))[0]), now)
        if len([1 for n, at in self.acked.values() if now - at <= self.times.lease]) + 1 >= self.majority:
            self.followed_at = now
        self._release_reserved(out)

    def _release_reserved(self, out: Effects) -> None:
        numbers = sorted([self.number, *(n for n, _ in self.acked.values())], reverse=True)
        reserved_number = numbers[self.majority - 1] if len(numbers) >= self.majority else -1
        for reserve in [r for r in self.reserves if r.number <= reserved_number]:
            self.reserves.remove(reserve)
            self.ready.append((self.token, reserve.entry, reserve.act))

    def order(self, now: float, kind: str, count: int, out: Effects) -> bool:
        """Order servers within the site's allowance; False if it does not suffice or this agent may not act."""
        stored = self.stored
        if (
            not self.acting
            or count <= 0
            or stored.spent + count > stored.allowed
            or self.journal.is_full(self.token)
        ):
            return False
        name = f"{self.token}-{len(self.journal.acts.get(self.token, {}))}-{self.me}"
        act = Act(name, "order", kind, count)
        entry = self.journal.add(self.token, act, out)
        stored.spent += count
        self._persist(out)
        self.reserves.append(ReservedOrder(self.number + 1, entry, act))
        self._send_lead(now, out)
        return True

    def lower_cap(self, now: float, build: int, cap: float, out: Effects) -> bool:
        """Lower a build's cap within the site; a site never raises one. False if it does not apply."""
        if not self.acting or cap >= self.stored.caps.get(build, 1.0) or self.journal.is_full(self.token):
            return False
        name = f"{self.token}-{len(self.journal.acts.get(self.token, {}))}-{self.me}"
        self.journal.add(self.token, Act(name, "cap", build=build, cap=cap), out)
        self._merge_caps({build: cap})
        self._persist(out)
        self._send_lead(now, out)
        return True

    def record_ballot(self, sender: int, ballot: ms.Ballot, out: Effects) -> None:
        """Record an agent's verdict. As many as the release desk requires take the build back within the site."""
        votes = self.ballots.setdefault(ballot.build, set())
        (votes.add if ballot.back else votes.discard)(sender)
        while len(self.ballots) > 16:
            del self.ballots[min(self.ballots)]

    def builds_voted_back(self) -> list[int]:
        """Return the builds with a cap above 0 for which enough agents voted back."""
        return [
            build
            for build, votes in self.ballots.items()
            if len(votes) >= self.back_votes and self.stored.caps.get(build, 1.0) > 0.0
        ]

    # --- followers ---
    def _handle_lead(self, now: float, sender: int, message: ms.Lead, out: Effects) -> None:
        stored = self.stored
        if message.token < stored.newest or (message.token == stored.newest and stored.voted not in (None, sender)):
            out.send(sender, ms.Followed(message.token, message.number, False, stored.newest, self.incarnation))
            return
        if self.role is not Role.NONE:
            self._reset_role(now)
        encoded_before = msgspec.msgpack.encode(stored)
        stored.newest, stored.voted = message.token, sender
        stored.spent = max(stored.spent, message.spent)
        self._merge_caps(message.caps)
        self._record_followed(message.token)
        if msgspec.msgpack.encode(stored) != encoded_before:
            self._persist(out)
        self.following, self.followed_at = message.token, now
        self._schedule_election(now)
        out.send(sender, ms.Followed(message.token, message.number, True, stored.newest, self.incarnation))

    def handle_released(self, sender: int, message: ms.Released, out: Effects) -> None:
        """Handle that the coordinator of that token has stopped."""
        if message.token == self.following:
            self.following, self.followed_at = NONE, -1e9

    def last_to_hear_group(self, now: float) -> int | None:
        """Return the agent that heard the group last, if within `lost` seconds."""
        latest = max(self.others.items(), key=lambda item: item[1], default=None)
        return latest[0] if latest and now - latest[1] <= self.times.lost else None
