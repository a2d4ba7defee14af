"""Leadership transfer at shutdown and away from a slow disk, while the other voting rules hold."""

from __future__ import annotations

import pytest
from test_group import elected_leader, make_durable, member, sent
from test_owners import PLAN, running

from otterquay.cores.effects import Effects
from otterquay.group import messages as ms
from otterquay.group.leadership import SLOW_SAMPLES, SlowDiskDetector, choose_successor
from otterquay.group.types import Peer, Role
from otterquay.lab.fleetsim.world import Sim


def test_the_most_up_to_date_member_takes_over_and_voters_accept_it_despite_a_recent_leader() -> None:
    one, _ = elected_leader()
    out = Effects()
    one.propose(5.1, b"x", out)
    make_durable(one, 5.1, out)
    one.receive(5.2, 2, ms.Appended(1, True, 2, 1), out)
    one.receive(5.2, 1, ms.Appended(1, True, 1, 1), out)
    out = Effects()
    assert one.transfer_leadership(5.2, out)
    assert [(s.to, s.message) for s in out.sends] == [(2, ms.Hand(1))] and one.role is Role.FOLLOWER
    voter, _ = member(1)
    heard = Effects()
    voter.receive(5.2, 0, ms.Append(1, 0, 0, [], 0, 1), heard)
    voter.receive(5.25, 2, ms.Vote(2, 2, 1), heard)
    assert not sent(heard, ms.Voted), "it has heard from a leader recently"
    voter.receive(5.25, 2, ms.Vote(2, 2, 1, True), heard)
    assert sent(heard, ms.Voted) == [ms.Voted(2, True)] and voter.voted_for == 2
    voter.receive(5.26, 0, ms.Vote(2, 9, 9, True), heard)
    assert sent(heard, ms.Voted)[-1] == ms.Voted(2, False), "one vote per term, transfer or not"


def test_a_transfer_vote_is_refused_if_the_candidates_log_is_behind() -> None:
    one, _ = elected_leader()
    out = Effects()
    one.propose(5.1, b"x", out)
    one.transfer_leadership(5.2, out)
    one.receive(5.3, 1, ms.Vote(2, 0, 0, True), out)
    assert sent(out, ms.Voted)[-1] == ms.Voted(2, False)


@pytest.mark.parametrize(("sender", "term"), [(2, 1), (1, 0), (1, 2)])
def test_a_transfer_message_is_ignored_unless_from_the_leader_of_this_term(sender: int, term: int) -> None:
    one, _ = member(0)
    out = Effects()
    one.receive(5.0, 1, ms.Append(1, 0, 0, [], 0, 1), out)
    one.receive(5.1, sender, ms.Hand(term), out)
    assert one.role is Role.FOLLOWER and one.term == 1 and not sent(out, ms.Vote)
    one.receive(5.1, 1, ms.Hand(1), out)
    assert one.role is Role.CANDIDATE and [v.transfer for v in sent(out, ms.Vote)] == [True, True]


def test_a_successor_must_be_heard_and_have_all_committed_entries() -> None:
    peers = {
        1: Peer(5, match=4, heard_at=9.0),
        2: Peer(5, match=7, heard_at=1.0),
        3: Peer(5, match=3, heard_at=9.9),
    }
    assert choose_successor(10.0, peers, 2.0, 4) == 1
    assert choose_successor(10.0, peers, 2.0, 5) is None
    assert choose_successor(10.0, peers, 20.0, 5) == 2
    one, _ = elected_leader()
    assert not one.transfer_leadership(99.0, Effects()) and one.role is Role.LEADER, (
        "it stays leader; its majority may come back"
    )


def test_a_disk_counts_as_slow_after_consecutive_samples_and_only_if_another_is_faster() -> None:
    def samples(own: list[float], theirs: float, answers: bool = True) -> list[bool]:
        detector, peer, found = SlowDiskDetector(0.25), Peer(1), []
        for i, took in enumerate(own, 1):
            found.append(detector.entry_durable(5.0 * i, i, took, {1: peer}))
            if answers:
                peer.match = i
                detector.answered(5.0 * i + theirs, peer)
        return found

    slow = [0.5] * (SLOW_SAMPLES + 1)
    assert samples(slow, 0.01) == [False] * SLOW_SAMPLES + [True]
    assert not any(samples([0.5, 0.5, 0.1, 0.5, 0.5, 0.5], 0.01)), "not consecutive"
    assert not any(samples(2 * slow, 0.4)), "all disks are equally slow"
    assert not any(samples(2 * slow, 0.01, answers=False)), "no answer from any other member"


def without_leader(sim: Sim, old: int) -> float:
    """Runs until a leader other than `old` is elected; returns the seconds that took."""
    started_at = sim.now
    assert sim.run(sim.now + 30.0, lambda: (now := sim.leader()) is not None and now.plan.me != old)
    return sim.now - started_at


def test_a_leader_that_shuts_down_transfers_leadership_without_an_election_timeout() -> None:
    sim = running(3)
    leader = sim.leader()
    assert leader is not None
    sim.terminate(leader.plan.me)
    assert without_leader(sim, leader.plan.me) < 0.5 and sim.hosts[leader.plan.me].node.has_left()  # type: ignore[union-attr]
    sim = running(3)
    leader = sim.leader()
    assert leader is not None
    sim.kill(leader.plan.me)
    assert without_leader(sim, leader.plan.me) > 1.0, "an election, for comparison"


def test_a_slow_disk_of_the_leader_moves_leadership_and_slow_disks_everywhere_do_not() -> None:
    sim = running(4)
    sim.keep_log_records = True
    leader = sim.leader()
    assert leader is not None
    sim.hosts[leader.plan.me].slow_s = 0.5
    sim.run(sim.now + 20.0)
    after = sim.leader()
    assert after is not None and after.plan.me != leader.plan.me
    assert [e for _, _, e, _ in sim.log_records].count("leader_hands_over") == 1, (
        "leadership does not move back and forth"
    )
    sim = running(4)
    sim.keep_log_records = True
    for host in sim.hosts.values():
        host.slow_s = 0.3
    sim.run(sim.now + 20.0)
    assert "leader_hands_over" not in [e for _, _, e, _ in sim.log_records]
    assert not any(sim.judge.counts.values()) and len(PLAN.members) == 3
