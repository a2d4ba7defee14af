"""A Raft member without I/O: elections, log replication, commits and linearizable reads, driven by events and time.

See Ongaro, Ousterhout, "In search of an understandable consensus algorithm" (2014); pre-vote, check-quorum and read
index are sections 9.6, 6.2 and 6.4 of Ongaro's thesis. Times are seconds of the member's own clock. Safety does not
depend on the clock; a wrong clock only affects progress.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from otterquay.cores.effects import Effects
from otterquay.group import messages as ms
from otterquay.group.joining import Joining
from otterquay.group.leadership import SlowDiskDetector, choose_successor
from otterquay.group.log import LOG, META, SNAPSHOT, Log
from otterquay.group.types import TERM, HardState, Peer, PendingRead, Role, Sizes, StateMachine, Times


@dataclass(slots=True)
class Member:
    """One Raft member. `on_applied` gets index, term, data and result of each entry as it is applied, in order."""

    me: int
    members: Sequence[int]
    machine: StateMachine
    log: Log
    joining: Joining
    rng: random.Random
    times: Times = field(default_factory=Times)
    sizes: Sizes = field(default_factory=Sizes)
    on_applied: Callable[[int, int, bytes, object, Effects], None] = lambda index, term, data, result, out: None
    term: int = 0
    voted_for: int | None = None
    role: Role = Role.FOLLOWER
    leader: int | None = None
    commit_index: int = 0
    last_applied: int = 0
    durable_index: int = 0  # the newest entry that is durable on this member's own disk
    election_at: float = 0.0
    heard_at: float = -1e9  # when a leader was last heard from
    leading_since: float = 0.0  # when the no-op of this leader's term was applied; 0 before
    votes: set[int] = field(default_factory=set)
    peers: dict[int, Peer] = field(default_factory=dict)
    reads: list[PendingRead] = field(default_factory=list)
    round: int = 0  # sent with heartbeats and entries; an answer confirms the leader for reads up to its round
    heartbeat_at: float = 0.0
    noop_index: int = 0  # of this leader's term
    disk: SlowDiskDetector = field(init=False)
    transfer_due: bool = False  # this leader's disk is slower than another member's

    def __post_init__(self) -> None:
        self.disk = SlowDiskDetector(self.times.slow)

    # --- start and timers ---
    def start(self, now: float, kept: bytes | None) -> None:
        """Starts as a follower with the term and vote that the disk holds, if any."""
        if kept is not None:
            stored: HardState = msgspec.msgpack.decode(kept, type=HardState)
            self.term, self.voted_for = stored.term, stored.vote
        if self.log.snapshot_state is not None:
            self.machine.load(self.log.snapshot_state)
        self.commit_index = self.last_applied = self.log.snapshot_index
        self.durable_index = self.log.last
        self._reset_election_timer(now)

    def _reset_election_timer(self, now: float) -> None:
        self.election_at = now + self.times.election * (1.0 + self.rng.random())

    @property
    def majority(self) -> int:
        """The number of members that form a majority."""
        return len(self.members) // 2 + 1

    def due(self) -> float:
        """When `tick` next has something to do."""
        if not self.joining.ready:
            return self.joining.hellos_sent_at + 0.5
        return self.heartbeat_at if self.role is Role.LEADER else self.election_at

    def tick(self, now: float, out: Effects) -> None:
        """Runs the timers that are due."""
        if len(self.joining.welcomed) < len(self.members) - 1:
            self.joining.send_hellos(now, self.term, self.log.last, out)
        if not self.joining.ready:
            return
        if self.role is Role.LEADER:
            if not self.confirmed(now):
                out.log("leader_steps_down", term=self.term, reason="no majority answers")
                return self._become_follower(now, None, out)
            if now >= self.heartbeat_at:
                self._send_heartbeats(now, out)
        elif now >= self.election_at:
            self._start_prevote(now, out)

    def confirmed(self, now: float) -> bool:
        """Whether a majority has answered this leader within the election timeout."""
        heard = 1 + sum(now - p.heard_at <= self.times.election for p in self.peers.values())
        return self.role is Role.LEADER and heard >= self.majority

    def receive(self, now: float, sender: int, message: ms.Message, out: Effects) -> None:
        """Handles a message from another member."""
        if sender == self.me or sender not in self.members:
            return
        match message:
            case ms.Hello():
                return self.joining.handle_hello(sender, message, out)
            case ms.Welcome():
                self.joining.handle_welcome(sender, message, out)
                if self.joining.refused and self.role is not Role.FOLLOWER:
                    self._become_follower(now, None, out)
                return
        if not self.joining.ready:
            return  # not admitted yet: its disk may have lost votes or entries, so it takes no part
        match message:
            case ms.PreVote():
                self._handle_prevote(now, sender, message, out)
            case ms.PreVoted():
                self._handle_prevoted(now, sender, message, out)
            case ms.Vote():
                self._handle_vote(now, sender, message, out)
            case ms.Voted():
                self._handle_voted(now, sender, message, out)
            case ms.Append():
                self._handle_append(now, sender, message, out)
            case ms.Appended():
                self._handle_appended(now, sender, message, out)
            case ms.Install():
                self._handle_install(now, sender, message, out)
            case ms.Hand():
                if message.term == self.term and self.role is Role.FOLLOWER and self.leader == sender:
                    self._start_election(now, out, True)

    # --- terms and elections ---
    def _persist_term(self, out: Effects) -> None:
        out.write(META, TERM, msgspec.msgpack.encode(HardState(self.term, self.voted_for)))

    def _become_follower(self, now: float, leader: int | None, out: Effects, term: int | None = None) -> None:
        if term is not None and term > self.term:
            self.term, self.voted_for = term, None
            self._persist_term(out)
        self.role, self.leader = Role.FOLLOWER, leader
        self.leading_since = 0.0
        self.reads.clear()
        self._reset_election_timer(now)

    def _leader_is_recent(self, now: float) -> bool:
        """Whether this member leads or has heard from a leader within the election timeout."""
        return self.role is Role.LEADER or now - self.heard_at < self.times.election

    def _log_is_up_to_date(self, last: int, last_term: int) -> bool:
        return (last_term, last) >= (self.log.last_term, self.log.last)

    def _start_prevote(self, now: float, out: Effects) -> None:
        self.role, self.leader, self.votes = Role.PRE_CANDIDATE, None, {self.me}
        self._reset_election_timer(now)
        if len(self.votes) >= self.majority:
            return self._start_election(now, out)
        for member in self.members:
            if member != self.me:
                out.send(member, ms.PreVote(self.term + 1, self.log.last, self.log.last_term))

    def _handle_prevote(self, now: float, sender: int, m: ms.PreVote, out: Effects) -> None:
        granted = (
            m.term > self.term and self._log_is_up_to_date(m.last, m.last_term) and not self._leader_is_recent(now)
        )
        out.send(sender, ms.PreVoted(m.term, granted, self.term))

    def _handle_prevoted(self, now: float, sender: int, m: ms.PreVoted, out: Effects) -> None:
        if m.own > self.term and not m.granted:
            return self._become_follower(now, None, out, m.own)
        if self.role is Role.PRE_CANDIDATE and m.granted and m.term == self.term + 1:
            self.votes.add(sender)
            if len(self.votes) >= self.majority:
                self._start_election(now, out)

    def transfer_leadership(self, now: float, out: Effects, prefer_fast: bool = False) -> bool:
        """Transfers leadership and delays this member's next election; False if no member could take over."""
        if self.role is not Role.LEADER:
            return False
        to = choose_successor(now, self.peers, self.times.election, self.commit_index, prefer_fast)
        if to is None:
            return False
        out.log("leader_hands_over", term=self.term, to=to)
        out.send(to, ms.Hand(self.term))
        self._become_follower(now, None, out)
        self.election_at += 2 * self.times.election
        return True

    def _start_election(self, now: float, out: Effects, transfer: bool = False) -> None:
        self.role, self.term, self.voted_for, self.votes = Role.CANDIDATE, self.term + 1, self.me, {self.me}
        self._persist_term(out)
        self._reset_election_timer(now)
        if len(self.votes) >= self.majority:
            return self._become_leader(now, out)
        for member in self.members:
            if member != self.me:
                out.send(member, ms.Vote(self.term, self.log.last, self.log.last_term, transfer))

    def _handle_vote(self, now: float, sender: int, m: ms.Vote, out: Effects) -> None:
        if self._leader_is_recent(now) and m.term > self.term and not m.transfer:
            return
        if m.term > self.term:
            self._become_follower(now, None, out, m.term)
        granted = (
            m.term == self.term
            and self.voted_for in (None, sender)
            and self._log_is_up_to_date(m.last, m.last_term)
            and self.role is Role.FOLLOWER
        )
        if granted:
            if self.voted_for is None:
                self.voted_for = sender
                self._persist_term(out)
            self._reset_election_timer(now)
        out.send(sender, ms.Voted(self.term, granted))

    def _handle_voted(self, now: float, sender: int, m: ms.Voted, out: Effects) -> None:
        if m.term > self.term:
            return self._become_follower(now, None, out, m.term)
        if m.granted and m.term == self.term:
            self.joining.record_heard(sender, m.term, 0)
            if self.role is Role.CANDIDATE:
                self.votes.add(sender)
                if len(self.votes) >= self.majority:
                    self._become_leader(now, out)

    def _become_leader(self, now: float, out: Effects) -> None:
        self.role, self.leader, self.leading_since = Role.LEADER, self.me, 0.0
        self.peers = {m: Peer(self.log.last + 1, heard_at=now) for m in self.members if m != self.me}
        self.reads.clear()
        self.noop_index = self.log.append(ms.Entry(self.term, b""), out)
        self.disk = SlowDiskDetector(self.times.slow)
        out.log("leads", term=self.term)
        self._track_durability(now, out)
        self._send_heartbeats(now, out)

    def _track_durability(self, appended_at: float, out: Effects) -> None:
        """Counts the newest entry towards the majority once it is durable on this disk."""
        index, term = self.log.last, self.term

        def mark_durable(now: float) -> None:
            if self.term == term:
                self.durable_index = max(self.durable_index, min(index, self.log.last))
                if self.role is Role.LEADER and self.disk.entry_durable(now, index, now - appended_at, self.peers):
                    self.transfer_due = True

        out.on_durable.append(mark_durable)

    def handle_durable(self, now: float, out: Effects) -> None:
        """Called once writes are durable: commits what a majority now has; may transfer to a faster disk."""
        if self.role is Role.LEADER:
            self._commit(now, out)
        if self.transfer_due:
            self.transfer_due = False
            if self.leading_since:
                self.transfer_leadership(now, out, True)

    # --- leader ---
    def propose(self, now: float, data: bytes, out: Effects) -> int | None:
        """Appends a command and returns its index; None if not the leader or too many entries are uncommitted."""
        if self.role is not Role.LEADER or self.log.last - self.commit_index >= self.sizes.uncommitted:
            return None
        index = self.log.append(ms.Entry(self.term, data), out)
        self._track_durability(now, out)
        return index

    def flush(self, now: float, out: Effects) -> None:
        """Sends the entries proposed in this step to each idle follower, in one message."""
        if self.role is Role.LEADER:
            for member, peer in self.peers.items():
                if not peer.waiting and peer.next <= self.log.last:
                    self._replicate(now, member, peer, out)

    def read(self, now: float, done: Callable[[float, Effects], None], out: Effects) -> bool:
        """Starts a linearizable read; False if this member cannot serve it.

        `done` is called once a majority has confirmed this leader and everything committed before is applied.
        """
        if self.role is not Role.LEADER or self.commit_index < self.noop_index:
            return False
        self.round += 1
        self.reads.append(PendingRead(self.round, self.commit_index, done))
        for member, peer in self.peers.items():
            self._replicate(now, member, peer, out)
        self._complete_reads(now, out)
        return True

    def _send_heartbeats(self, now: float, out: Effects) -> None:
        self.round += 1
        self.heartbeat_at = now + self.times.heartbeat
        for member, peer in self.peers.items():
            if peer.waiting and now - peer.sent_at < self.times.resend:
                # what was sent may still be acknowledged: confirm leadership without sending it again
                out.send(
                    member,
                    ms.Append(
                        self.term,
                        self.log.snapshot_index,
                        self.log.snapshot_term,
                        [],
                        min(self.commit_index, self.log.snapshot_index),
                        self.round,
                    ),
                )
            else:
                self._replicate(now, member, peer, out)

    def _replicate(self, now: float, member: int, peer: Peer, out: Effects) -> None:
        before = peer.next - 1
        term = self.log.term_at(before)
        peer.sent_at = now
        if term is None:
            peer.waiting = True
            out.send(
                member,
                ms.Install(
                    self.term,
                    self.log.snapshot_index,
                    self.log.snapshot_term,
                    self.log.snapshot_state or b"",
                    self.round,
                ),
            )
            return
        entries = self.log.entries_after(before, self.sizes.entries, self.sizes.bytes)
        peer.waiting = bool(entries)
        out.send(member, ms.Append(self.term, before, term, entries, self.commit_index, self.round))

    def _handle_appended(self, now: float, sender: int, m: ms.Appended, out: Effects) -> None:
        if m.term > self.term:
            return self._become_follower(now, None, out, m.term)
        if self.role is not Role.LEADER or m.term < self.term:
            return
        peer = self.peers[sender]
        peer.heard_at, peer.round = now, max(peer.round, m.round)
        if m.ok:
            if m.match > self.log.last:
                return  # acknowledges an entry that this log does not have
            self.joining.record_heard(sender, m.term, m.match)
            if m.match > peer.match or m.match + 1 >= peer.next:
                peer.waiting = False
            peer.match = max(peer.match, m.match)
            self.disk.answered(now, peer)
            peer.next = max(peer.next, peer.match + 1)
            self._commit(now, out)
        else:
            peer.waiting = False
            peer.next = max(min(m.match + 1, peer.next - 1), peer.match + 1, 1)
        self._complete_reads(now, out)
        if not peer.waiting and peer.next <= self.log.last:
            self._replicate(now, sender, peer, out)

    def _commit(self, now: float, out: Effects) -> None:
        matches = sorted([self.durable_index, *(p.match for p in self.peers.values())], reverse=True)
        index = matches[self.majority - 1]
        if (
            index > self.commit_index and self.log.term_at(index) == self.term
        ):  # only entries of its own term, section 5.4.2
            self.commit_index = index
            self._apply(now, out)
            self._complete_reads(now, out)

    def _complete_reads(self, now: float, out: Effects) -> None:
        if not self.reads:
            return
        rounds = sorted([self.round, *(p.round for p in self.peers.values())], reverse=True)
        confirmed_round = rounds[self.majority - 1]
        ready = [r for r in self.reads if r.round <= confirmed_round and r.index <= self.last_applied]
        self.reads = [r for r in self.reads if r not in ready]
        for pending in ready:
            pending.done(now, out)

    def _apply(self, now: float, out: Effects) -> None:
        while self.last_applied < self.commit_index:
            index = self.last_applied + 1
            entry = self.log.entries[index - self.log.snapshot_index - 1]
            result = self.machine.apply(index, entry.data) if entry.data else None
            self.last_applied = index
            if self.role is Role.LEADER and index >= self.noop_index and not self.leading_since:
                self.leading_since = now
            self.on_applied(index, entry.term, entry.data, result, out)
        if self.last_applied - self.log.snapshot_index >= self.sizes.snapshot_after:
            self.log.compact(self.last_applied, self.machine.dump(), out)

    # --- follower ---
    def _handle_append(self, now: float, sender: int, m: ms.Append, out: Effects) -> None:
        if m.term < self.term:
            out.send(sender, ms.Appended(self.term, False, 0, 0))
            return
        self._become_follower(now, sender, out, m.term)
        self.heard_at = now
        if m.before > self.log.snapshot_index and self.log.term_at(m.before) != m.before_term:
            # entries of a term above `before_term` can't match: the leader has no such entry up to `before`
            hint = min(m.before - 1, self.log.last)
            conflicting_term = self.log.term_at(hint)
            while (
                hint > self.log.snapshot_index
                and conflicting_term is not None
                and self.log.term_at(hint) == conflicting_term
                and (conflicting_term > m.before_term)
            ):
                hint -= 1
            out.send(sender, ms.Appended(self.term, False, hint, m.round))
            return
        match = self.log.merge(m.before, m.entries, out) if m.entries else max(m.before, self.log.snapshot_index)
        self.durable_index = self.log.last
        if min(m.commit, match) > self.commit_index:
            self.commit_index = min(m.commit, match)
            self._apply(now, out)
        out.send(sender, ms.Appended(self.term, True, match, m.round))

    def _handle_install(self, now: float, sender: int, m: ms.Install, out: Effects) -> None:
        if m.term < self.term:
            out.send(sender, ms.Appended(self.term, False, 0, 0))
            return
        self._become_follower(now, sender, out, m.term)
        self.heard_at = now
        if m.index > self.commit_index:
            self.machine.load(m.state)
            keep = (
                self.log.entries[m.index - self.log.snapshot_index :]
                if self.log.term_at(m.index) == m.index_term
                else []
            )
            self.log.reset(m.index, m.index_term, m.state, keep, out)
            self.commit_index = self.last_applied = m.index
            self.durable_index = self.log.last
            out.log("state_installed", index=m.index)
        out.send(sender, ms.Appended(self.term, True, max(m.index, 0), m.round))


def load_member(
    me: int,
    members: Sequence[int],
    machine: StateMachine,
    table: Mapping[str, Mapping[bytes, bytes]],
    joining: Joining,
    rng: random.Random,
    now: float,
    times: Times,
    sizes: Sizes,
) -> Member:
    """Creates a member from its disk's tables. ValueError, msgspec.MsgspecError: the tables are not valid."""
    log = Log()
    meta = table.get(META, {})
    log.load(meta.get(SNAPSHOT), sorted(table.get(LOG, {}).items()))
    member = Member(me, members, machine, log, joining, rng, times, sizes)
    member.start(now, meta.get(TERM))
    return member
