"""Late orders of a former owner and grants by a new leader, each with its safeguard and without it."""

from __future__ import annotations

from dataclasses import replace

from otterquay.fleet.plan import Intervals, Plan
from otterquay.lab.fleetsim.mutants import MUTANTS
from otterquay.lab.fleetsim.world import YARD, Sim

PLAN = Plan(
    0,
    (3, 4, 5),
    {0: "north", 1: "north", 2: "north", 3: "south", 4: "south", 5: "south"},
    20,
    4,
    {"north": {"x": 4}, "south": {"x": 2}},
)


def running(seed: int) -> Sim:
    """A simulated fleet that has started and settled."""
    sim = Sim(PLAN, seed)
    for number in sim.hosts:
        sim.start(number)
    assert sim.run(60.0, sim.is_settled)
    sim.run(sim.now + 3.0)
    return sim


def test_an_order_that_arrives_after_the_next_owner_has_acted_is_refused() -> None:
    for fencing in (True, False):
        sim = running(2)
        sim.yard.fencing = fencing
        leader = sim.leader()
        assert leader is not None
        owner = leader.duties.group_state.duties["capacity/north"].owner
        assert owner is not None
        sim.yard.end("north", "x", 2)
        node = sim.hosts[owner].node
        assert node is not None

        def slow_down(sim: Sim = sim, owner: int = owner) -> bool:
            """Once the order is being recorded, delays the owner's requests to the yard."""
            owner_node = sim.hosts[owner].node
            if (
                owner_node is not None
                and owner_node.reconciler is not None
                and owner_node.reconciler.proposed_counts.get("x")
            ):
                sim.links.slow[owner, YARD] = 15.0
                return True
            return False

        assert sim.run(sim.now + 30.0, slow_down)
        sim.run(sim.now + 0.2)
        sim.stall(owner, True)
        sim.run(sim.now + 30.0)
        late = [e for e in sim.yard.tape if e.agent == owner and e.at > sim.now - 25.0]
        assert late, "the order arrived"
        if fencing:
            assert {e.what for e in late} == {"stale"} and not any(sim.judge.counts.values())
        else:
            assert {e.what for e in late} == {"repeated"}, (
                "accepted; only its id keeps it from being executed again"
            )


def new_leader(seed: int) -> int:
    """Kills the leader while an owner can reach only the yard; returns the count of "two_owners"."""
    sim = running(seed)
    leader = sim.leader()
    assert leader is not None
    owner = leader.duties.group_state.duties["capacity/north"].owner
    if owner is None or owner == leader.plan.me:
        return 0
    sim.links.cut([(a, b) for a in sim.hosts for b in sim.hosts if a != b and owner in (a, b)])
    sim.kill(leader.plan.me)
    sim.run(sim.now + 8.0)
    return sim.judge.counts["two_owners"]


def test_a_new_leader_grants_nothing_that_an_older_lease_may_still_cover() -> None:
    assert sum(new_leader(seed) for seed in range(8)) == 0
    with MUTANTS["a new leader does not wait"][1]():
        assert sum(new_leader(seed) for seed in range(8)) > 0


def test_an_owner_that_ends_hands_over_at_once() -> None:
    sim = running(4)
    leader = sim.leader()
    assert leader is not None
    duty = leader.duties.group_state.duties["capacity/north"]
    owner, token, at = duty.owner, duty.token, sim.now
    assert owner is not None
    host = sim.hosts[owner]
    assert host.node is not None
    sim._add_step(host, host.node.shut_down(sim.now))
    assert sim.run(sim.now + 10.0, lambda: leader.duties.group_state.duties["capacity/north"].token > token)
    assert sim.now - at < PLAN.terms.owner / 2, "long before its lease would have run out"
    assert (
        host.node.has_left()
        and not host.node.owned
        and leader.duties.group_state.duties["capacity/north"].owner != owner
    )


def test_messages_from_senders_that_may_not_send_them_change_nothing() -> None:
    from otterquay.duties import commands as cm
    from otterquay.duties import messages as dm
    from otterquay.duties.token import Token
    from otterquay.fleet import codec
    from otterquay.group import messages as gm
    from otterquay.sites import messages as sm

    sim = running(6)
    node = sim.hosts[0].node
    leader = sim.leader()
    assert node is not None and leader is not None
    before = (leader.duties.dump(), node.site.stored.newest, leader.member.term)  # type: ignore[union-attr]
    claim = dm.Propose(cm.Proposal(1, 2**40, 1, cm.Claim("capacity/north")))
    vote = codec.encode(gm.Vote(2**61, 2**61, 2**61))
    cases = [
        (leader, 2, claim),
        (leader, 2, dm.Propose(cm.Proposal(2, 2**40, 1, cm.Expire("capacity", Token(9), 1)))),
        (leader, 2, gm.Vote(2**61, 1, 1)),
        (leader, 2, dm.Relayed(0, leader.plan.me, vote)),
        (leader, 0, dm.Relayed(0, leader.plan.me, codec.encode(dm.Relayed(0, 1, b"")))),
        (leader, 0, dm.Relayed(0, leader.plan.me, b"\xc1")),
        (leader, 0, dm.Status(1, "south", [], 2**60, False)),
        (node, 4, sm.Lead(Token(2**61, 1), 1, 0, {})),
        (node, 1, sm.Followed(Token(9), 1, True, Token(9), 1)),
        (node, 5, dm.Done(2**50, 1, cm.Result(True, token=Token(99)))),
        (
            node,
            1,
            dm.Beat(node.incarnation, {}, dm.SiteBeat(Token(99), 99, Token(99), [], [], 0, 0), {1: 0.0}, 0, 0),
        ),
    ]
    for to, sender, message in cases:
        out = to.receive(sim.now, sender, message)
        assert not out.writes and not out.calls, message
    assert (leader.duties.dump(), node.site.stored.newest, leader.member.term) == before  # type: ignore[union-attr]
    assert node.caps() == {}


def test_an_owner_polls_the_yard_at_the_configured_interval() -> None:
    """An answer once did not cancel the timeout for lost answers, so every poll took three seconds."""
    sim = Sim(replace(PLAN, intervals=replace(PLAN.intervals, yard=0.4)), 2)
    for number in sim.hosts:
        sim.start(number)
    assert sim.run(60.0, sim.is_settled)
    sim.yard.end("north", "x", 2)
    started_at = sim.now
    assert sim.run(sim.now + 10.0, lambda: sim.yard.site("north").alive["x"] == 4)
    assert sim.now - started_at < 4 * 0.4, "polled, reported two ended servers, read the records, ordered"


GRAY = Plan(
    0,
    (0, 4, 5),
    {n: "north" if n < 4 else "south" for n in range(8)},
    30,
    3,
    {"north": {"a": 4, "b": 2}, "south": {"a": 2, "b": 4, "c": 2}},
    intervals=Intervals(yard=0.4, owes=4.0),
)


def test_only_an_owner_that_renews_but_delivers_nothing_is_relieved() -> None:
    sim = Sim(GRAY, 1)
    sim.keep_log_records = True
    for number in sim.hosts:
        sim.start(number)
    assert sim.run(60.0, sim.is_settled)
    leader = sim.leader()
    assert leader is not None
    gray = leader.duties.group_state.duties["capacity/south"].owner
    assert gray is not None
    sim.links.cut([(gray, YARD), (YARD, gray)])
    for _ in range(20):  # servers end continually at both sites
        sim.yard.end(sim.rng.choice(["north", "south"]), sim.rng.choice("abc"), 1)
        sim.run(sim.now + 1.5)
    assert sim.run(sim.now + 10.0, lambda: sim.yard.site("south").alive == {"a": 2, "b": 4, "c": 2})
    relieved = [fields["agent"] for _, _, event, fields in sim.log_records if event == "owner_relieved"]
    assert relieved == [gray] and not any(sim.judge.counts.values())
    posts = sim.leader().duties.group_state.posts.posts.values()  # type: ignore[union-attr]
    assert all(post.owner not in (None, gray) for post in posts), "it does not hold a post either"
