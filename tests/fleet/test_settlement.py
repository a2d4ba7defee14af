"""A coordinator's journal is lost with its disk: the yard's list of orders has to account for its acts."""

from __future__ import annotations

from otterquay.fleet.plan import Plan
from otterquay.lab.fleetsim.mutants import MUTANTS
from otterquay.lab.fleetsim.world import YARD, Sim


def lose_coordinator_and_disk(sim: Sim) -> None:
    """Cut off a site, let its coordinator order, kill it and wipe its disk, then reconnect the site."""
    for number in sim.hosts:
        sim.start(number)
    assert sim.run(60.0, sim.is_settled)
    sim.run(sim.now + 5.0)
    northern_agents = sim.plan.agents_of("north")
    reconnect = sim.links.cut(
        [(a, b) for a in sim.hosts for b in sim.hosts if (a in northern_agents) != (b in northern_agents)]
    )
    sim.yard.end("north", "x", 3)
    assert sim.run(sim.now + 40.0, lambda: any(t.term for t in sim.yard.site("north").first.values()))
    sim.run(sim.now + 1.0)
    leader = next(agent for (site, _), agent in sim.judge.leads.items() if site == "north")
    sim.kill(leader)
    sim.hosts[leader].disk = {}
    reconnect()
    sim.run(sim.now + 20.0)
    sim.start(leader)
    sim.run(sim.now + 60.0, sim.is_settled)
    sim.run(sim.now + 30.0, sim.is_settled)
    assert sim.leader() is not None
    sim.judge.check_end(sim.yard, sim.leader().duties)  # type: ignore[union-attr]


PLAN = Plan(
    0,
    (0, 3, 4),
    {0: "north", 1: "north", 2: "north", 3: "south", 4: "south", 5: "south"},
    20,
    4,
    {"north": {"x": 4}, "south": {"x": 2}},
)


def test_the_yards_list_settles_what_a_lost_coordinator_did() -> None:
    sim = Sim(PLAN, 3)
    lose_coordinator_and_disk(sim)
    assert not any(sim.judge.counts.values()), sim.judge.notes
    books = sim.leader().duties.group_state  # type: ignore[union-attr]
    assert books.acts >= 1 and books.sites["north"].spent >= 3 and books.sites["north"].floor.group > 3
    assert YARD not in sim.hosts


def test_without_the_settlement_its_orders_are_lost() -> None:
    with MUTANTS["no settlement with the yard's list"][1]():
        sim = Sim(PLAN, 3)
        lose_coordinator_and_disk(sim)
    assert sim.judge.counts["acts_lost"] > 0
