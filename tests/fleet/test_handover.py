"""A leader that gives its place away: at its end, and for a quicker disk. Votes are given as ever."""

from __future__ import annotations

import pytest
from test_group import lasting, led, member, sent
from test_owners import PLAN, running

from otterquay.cores.out import Out
from otterquay.group import messages as ms
from otterquay.group.handover import IN_A_ROW, DiskPace, successor
from otterquay.group.parts import Peer, Role
from otterquay.lab.fleetsim.world import Sim


def test_the_furthest_log_takes_over_at_once_and_voters_that_hear_a_leader_let_it_through() -> None:
    one, _ = led()
    out = Out()
    one.propose(5.1, b"x", out)
    lasting(one, 5.1, out)
    one.receive(5.2, 2, ms.Appended(1, True, 2, 1), out)
    one.receive(5.2, 1, ms.Appended(1, True, 1, 1), out)
    out = Out()
    assert one.hand(5.2, out)
    assert [(s.to, s.message) for s in out.sends] == [(2, ms.Hand(1))] and one.role is Role.FOLLOWER
    voter, _ = member(1)
    heard = Out()
    voter.receive(5.2, 0, ms.Append(1, 0, 0, [], 0, 1), heard)
    voter.receive(5.25, 2, ms.Vote(2, 2, 1), heard)
    assert not sent(heard, ms.Voted), "it has just heard a leader"
    voter.receive(5.25, 2, ms.Vote(2, 2, 1, True), heard)
    assert sent(heard, ms.Voted) == [ms.Voted(2, True)] and voter.vote == 2
    voter.receive(5.26, 0, ms.Vote(2, 9, 9, True), heard)
    assert sent(heard, ms.Voted)[-1] == ms.Voted(2, False), "one vote a term, handed or not"


def test_a_handed_vote_is_refused_to_a_log_that_lacks_something() -> None:
    one, _ = led()
    out = Out()
    one.propose(5.1, b"x", out)
    one.hand(5.2, out)
    one.receive(5.3, 1, ms.Vote(2, 0, 0, True), out)
    assert sent(out, ms.Voted)[-1] == ms.Voted(2, False)


@pytest.mark.parametrize(("sender", "term"), [(2, 1), (1, 0), (1, 2)])
def test_a_word_that_is_not_the_leaders_of_this_term_moves_nobody(sender: int, term: int) -> None:
    one, _ = member(0)
    out = Out()
    one.receive(5.0, 1, ms.Append(1, 0, 0, [], 0, 1), out)
    one.receive(5.1, sender, ms.Hand(term), out)
    assert one.role is Role.FOLLOWER and one.term == 1 and not sent(out, ms.Vote)
    one.receive(5.1, 1, ms.Hand(1), out)
    assert one.role is Role.CANDIDATE and [v.handed for v in sent(out, ms.Vote)] == [True, True]


def test_nobody_that_is_not_heard_or_lacks_what_is_committed_is_named() -> None:
    peers = {
        1: Peer(5, match=4, heard_at=9.0),
        2: Peer(5, match=7, heard_at=1.0),
        3: Peer(5, match=3, heard_at=9.9),
    }
    assert successor(10.0, peers, 2.0, 4) == 1
    assert successor(10.0, peers, 2.0, 5) is None
    assert successor(10.0, peers, 20.0, 5) == 2
    one, _ = led()
    assert not one.hand(99.0, Out()) and one.role is Role.LEADER, "it goes on; its majority may be back"


def test_a_disk_counts_as_slow_only_after_some_writes_and_against_a_quicker_one() -> None:
    def samples(own: list[float], theirs: float, answers: bool = True) -> list[bool]:
        pace, peer, found = DiskPace(0.25), Peer(1), []
        for i, took in enumerate(own, 1):
            found.append(pace.lasted(5.0 * i, i, took, {1: peer}))
            if answers:
                peer.match = i
                pace.answered(5.0 * i + theirs, peer)
        return found

    slow = [0.5] * (IN_A_ROW + 1)
    assert samples(slow, 0.01) == [False] * IN_A_ROW + [True]
    assert not any(samples([0.5, 0.5, 0.1, 0.5, 0.5, 0.5], 0.01)), "not in a row"
    assert not any(samples(2 * slow, 0.4)), "all are slow alike"
    assert not any(samples(2 * slow, 0.01, answers=False)), "nobody to move to is heard"


def without_leader(sim: Sim, old: int) -> float:
    """Seconds from now until there is another leader than the one of before."""
    begun = sim.now
    assert sim.run(sim.now + 30.0, lambda: (now := sim.leader()) is not None and now.plan.me != old)
    return sim.now - begun


def test_a_leader_that_ends_leaves_no_time_without_one() -> None:
    sim = running(3)
    leader = sim.leader()
    assert leader is not None
    sim.terminate(leader.plan.me)
    assert without_leader(sim, leader.plan.me) < 0.5 and sim.hosts[leader.plan.me].node.left()  # type: ignore[union-attr]
    sim = running(3)
    leader = sim.leader()
    assert leader is not None
    sim.kill(leader.plan.me)
    assert without_leader(sim, leader.plan.me) > 1.0, "an election, for comparison"


def test_a_slow_disk_at_the_leader_moves_the_leader_and_slow_disks_everywhere_do_not() -> None:
    sim = running(4)
    sim.keep_log_records = True
    leader = sim.leader()
    assert leader is not None
    sim.hosts[leader.plan.me].slow_s = 0.5
    sim.run(sim.now + 20.0)
    after = sim.leader()
    assert after is not None and after.plan.me != leader.plan.me
    assert [e for _, _, e, _ in sim.log_records].count("leader_hands_over") == 1, "it does not go to and fro"
    sim = running(4)
    sim.keep_log_records = True
    for host in sim.hosts.values():
        host.slow_s = 0.3
    sim.run(sim.now + 20.0)
    assert "leader_hands_over" not in [e for _, _, e, _ in sim.log_records]
    assert not any(sim.judge.counts.values()) and len(PLAN.members) == 3
