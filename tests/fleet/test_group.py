"""A single Raft member driven by hand: vote and commit counting, persistence, and refused messages."""

from __future__ import annotations

import random
from typing import Any

import pytest

from otterquay.cores.effects import Effects
from otterquay.group import messages as ms
from otterquay.group.joining import Identity, Joining, Known
from otterquay.group.log import Log
from otterquay.group.member import Member
from otterquay.group.types import Role, Sizes, Times


class RecordingMachine:
    """A state machine that records the applied commands."""

    def __init__(self) -> None:
        self.applied: list[bytes] = []

    def apply(self, index: int, data: bytes) -> object:
        self.applied.append(data)
        return index

    def dump(self) -> bytes:
        return b"|".join(self.applied)

    def load(self, state: bytes) -> None:
        self.applied = state.split(b"|") if state else []


def member(me: int = 0, count: int = 3, **more: Any) -> tuple[Member, RecordingMachine]:
    members = tuple(range(count))
    joining = Joining(me, members, Identity(1, 1, True), 7, {}, welcomed=set(members) - {me})
    machine = RecordingMachine()
    one = Member(me, members, machine, Log(), joining, random.Random(1), Times(), **more)
    one.start(0.0, None)
    return one, machine


def make_durable(one: Member, now: float, out: Effects) -> Effects:
    """Makes the step's writes durable; returns the effects that follow."""
    for callback in out.on_durable:
        callback(now)
    after = Effects()
    one.handle_durable(now, after)
    return after


def elected_leader(count: int = 3) -> tuple[Member, RecordingMachine]:
    """A member that is the leader of term 1."""
    one, machine = member(count=count)
    out = Effects()
    one.tick(5.0, out)
    one.receive(5.0, 1, ms.PreVoted(1, True, 0), out)
    one.receive(5.0, 1, ms.Voted(1, True), out)
    make_durable(one, 5.0, out)
    assert one.role is Role.LEADER
    return one, machine


def sent(out: Effects, kind: type) -> list[Any]:
    return [s.message for s in out.sends if isinstance(s.message, kind)]


def test_an_election_starts_only_after_a_majority_of_prevotes() -> None:
    one, _ = member()
    out = Effects()
    one.tick(5.0, out)
    assert one.role is Role.PRE_CANDIDATE and one.term == 0 and len(sent(out, ms.PreVote)) == 2 and not out.writes
    one.receive(5.0, 1, ms.PreVoted(1, True, 0), out)
    assert one.role is Role.CANDIDATE and one.term == 1 and len(sent(out, ms.Vote)) == 2 and out.writes


def test_a_vote_is_persisted_and_given_once_per_term() -> None:
    one, _ = member()
    out = Effects()
    one.receive(5.0, 1, ms.Vote(3, 0, 0), out)
    assert sent(out, ms.Voted) == [ms.Voted(3, True)] and any(w.key == b"term" for w in out.writes)
    again = Effects()
    one.receive(5.0, 2, ms.Vote(3, 0, 0), again)
    assert sent(again, ms.Voted) == [ms.Voted(3, False)]
    other, _ = member()
    kept = [w.value for w in out.writes if w.key == b"term"][-1]
    other.start(0.0, kept)
    back = Effects()
    other.receive(5.0, 2, ms.Vote(3, 0, 0), back)
    assert sent(back, ms.Voted) == [ms.Voted(3, False)], "the vote survives a restart"


def test_members_that_hear_a_leader_grant_no_votes() -> None:
    one, _ = member()
    one.receive(5.0, 1, ms.Append(2, 0, 0, [], 0, 1), Effects())
    out = Effects()
    one.receive(5.5, 2, ms.PreVote(9, 5, 2), out)
    one.receive(5.5, 2, ms.Vote(9, 5, 2), out)
    assert sent(out, ms.PreVoted) == [ms.PreVoted(9, False, 2)] and not sent(out, ms.Voted) and one.term == 2


def test_the_leaders_own_entry_counts_for_the_majority_only_once_durable() -> None:
    one, machine = elected_leader()
    out = Effects()
    one.propose(5.1, b"a", out)
    one.flush(5.1, out)
    early = Effects()
    one.receive(5.2, 1, ms.Appended(1, True, 1, 1), early)
    assert one.commit_index == 1, "the no-op is durable on two of three"
    one.receive(5.2, 2, ms.Appended(1, True, 1, 1), early)
    assert one.commit_index == 1 and machine.applied == []
    one.receive(5.3, 1, ms.Appended(1, True, 2, 1), early)
    assert one.commit_index == 1, "entry 2 is durable on one disk only"
    make_durable(one, 5.4, out)
    assert one.commit_index == 2 and machine.applied == [b"a"]


def test_an_entry_of_an_earlier_term_is_committed_only_with_one_of_this_term() -> None:
    """Figure 8 of the paper: an entry that a majority has may still be overwritten."""
    one, machine = member(count=5)
    out = Effects()
    one.receive(1.0, 1, ms.Append(2, 0, 0, [ms.Entry(2, b"old")], 0, 1), out)
    one.tick(9.0, out)
    for voter in (1, 2):
        one.receive(9.0, voter, ms.PreVoted(3, True, 2), out)
    for voter in (1, 2):
        one.receive(9.0, voter, ms.Voted(3, True), out)
    assert one.role is Role.LEADER and one.term == 3
    make_durable(one, 9.0, out)
    for voter in (1, 2):
        one.receive(9.1, voter, ms.Appended(3, True, 1, 1), Effects())
    assert one.commit_index == 0 and machine.applied == [], (
        "entry 1 of term 2 is on three of five members but not committed"
    )
    for voter in (1, 2):
        one.receive(9.2, voter, ms.Appended(3, True, 2, 1), Effects())
    assert one.commit_index == 2 and machine.applied == [b"old"]


def test_conflicting_entries_are_removed_and_matching_ones_stay() -> None:
    one, _ = member()
    one.receive(
        1.0, 1, ms.Append(1, 0, 0, [ms.Entry(1, b"a"), ms.Entry(1, b"b"), ms.Entry(1, b"c")], 1, 1), Effects()
    )
    out = Effects()
    one.receive(2.0, 2, ms.Append(2, 1, 1, [ms.Entry(2, b"x")], 1, 1), out)
    assert [e.data for e in one.log.entries] == [b"a", b"x"]
    late = Effects()
    one.receive(2.1, 2, ms.Append(2, 0, 0, [ms.Entry(1, b"a")], 1, 1), late)
    assert [e.data for e in one.log.entries] == [b"a", b"x"], "a late, shorter message removes nothing"
    gap = Effects()
    one.receive(2.2, 2, ms.Append(2, 7, 2, [ms.Entry(2, b"z")], 1, 1), gap)
    assert sent(gap, ms.Appended) == [ms.Appended(2, False, 2, 1)]


def test_a_follower_that_is_far_behind_gets_a_snapshot() -> None:
    one, machine = elected_leader()
    for i in range(30):
        out = Effects()
        one.propose(6.0, b"%d" % i, out)
        make_durable(one, 6.0, out)
    one.sizes = Sizes(snapshot_after=10)
    one.receive(6.0, 1, ms.Appended(1, True, 31, 1), Effects())
    assert one.log.snapshot_index == 31 and one.log.entries == []
    out = Effects()
    one.receive(6.1, 2, ms.Appended(1, False, 0, 1), out)
    install = sent(out, ms.Install)[-1]
    other, other_machine = member(2)
    back = Effects()
    other.receive(6.2, 0, install, back)
    assert other_machine.applied == machine.applied and other.log.last == 31 and other.last_applied == 31
    assert sent(back, ms.Appended) == [ms.Appended(1, True, 31, install.round)]


def test_a_read_waits_until_a_majority_confirms_the_leader() -> None:
    one, _ = elected_leader()
    one.receive(5.1, 1, ms.Appended(1, True, 1, 1), Effects())
    done: list[float] = []
    assert one.read(5.2, lambda now, out: done.append(now), Effects())
    assert not done
    one.receive(5.3, 1, ms.Appended(1, True, 1, one.round - 1), Effects())
    assert not done, "an answer to an earlier round proves nothing"
    one.receive(5.4, 1, ms.Appended(1, True, 1, one.round), Effects())
    assert done == [5.4]
    assert not member()[0].read(5.2, lambda now, out: None, Effects())


def test_a_leader_that_hears_no_majority_steps_down() -> None:
    one, _ = elected_leader()
    out = Effects()
    one.tick(7.0, out)
    assert one.role is Role.FOLLOWER and [event for event, _ in out.log_lines] == ["leader_steps_down"]
    assert one.propose(7.0, b"a", Effects()) is None


def test_proposals_over_the_limit_of_uncommitted_entries_are_rejected() -> None:
    one, _ = elected_leader()
    one.sizes = Sizes(uncommitted=3)
    assert [one.propose(5.0, b"x", Effects()) for _ in range(4)] == [2, 3, None, None]


# --- empty and outdated disks ---
def joining(known: dict[int, Known] | None = None, known_to_all: bool = True) -> Joining:
    return Joining(0, (0, 1, 2), Identity(10, 4, known_to_all), 99, known or {})


@pytest.mark.parametrize(
    ("hello", "reason"),
    [
        (ms.Hello(5, 3, 8, 2, 2), ""),
        (ms.Hello(6, 1, 8, 0, 0), "another disk"),
        (ms.Hello(5, 1, 8, 2, 2), "an older copy"),
        (ms.Hello(5, 2, 9, 2, 2), "an older copy"),
    ],
)
def test_a_start_is_welcomed_unless_its_disk_is_new_or_outdated(hello: ms.Hello, reason: str) -> None:
    one, out = joining({1: Known(5, 2, 8)}), Effects()
    one.handle_hello(1, hello, out)
    (welcome,) = sent(out, ms.Welcome)
    assert welcome.reason.startswith(reason) and bool(welcome.reason) == bool(reason)


def test_a_start_behind_what_was_heard_from_the_member_is_an_older_copy() -> None:
    one, out = joining({1: Known(5, 2, 8)}), Effects()
    one.record_heard(1, 4, 20)
    one.handle_hello(1, ms.Hello(5, 3, 11, 4, 12), out)
    assert "entry 12 after 4, 20" in sent(out, ms.Welcome)[0].reason


def test_a_new_disk_needs_welcomes_of_all_members_and_a_known_one_of_a_majority() -> None:
    new, old = joining(known_to_all=False), joining()
    for one in (new, old):
        one.handle_welcome(1, ms.Welcome(99, ""), Effects())
    assert old.ready and not new.ready
    out = Effects()
    new.handle_welcome(2, ms.Welcome(98, ""), out)
    assert not new.ready, "the answer to another start"
    new.handle_welcome(2, ms.Welcome(99, ""), out)
    assert new.ready and out.writes
    old.handle_welcome(2, ms.Welcome(99, "another disk"), Effects())
    assert not old.ready, "one refusal is enough, even a late one"


def test_a_member_that_is_not_admitted_grants_and_acknowledges_nothing() -> None:
    one, _ = member()
    one.joining.welcomed.clear()
    out = Effects()
    one.tick(9.0, out)
    for message in (ms.Vote(3, 9, 3), ms.PreVote(3, 9, 3), ms.Append(3, 0, 0, [ms.Entry(3, b"a")], 1, 1)):
        one.receive(9.0, 1, message, out)
    assert {type(s.message) for s in out.sends} == {ms.Hello} and one.term == 0 and one.log.last == 0
