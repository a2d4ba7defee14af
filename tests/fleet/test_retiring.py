"""Retiring of surplus servers: once, under a token, and only while the demand of all agents is known."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from otterquay.fleet.plan import Intervals, Plan
from otterquay.lab.fleetsim.world import YARD, Sim
from otterquay.runtimes.demand import RATE_VALID_S
from otterquay.runtimes.machine import Estimate
from otterquay.runtimes.sizing import Sizing, servers_needed

PLAN = Plan(
    0,
    (0, 3, 4),
    {0: "north", 1: "north", 2: "north", 3: "south", 4: "south", 5: "south"},
    20,
    2,
    {"north": {"x": 6}, "south": {"x": 2}},
    intervals=Intervals(retire=10.0),
)


def sim_with_low_demand(plan: Plan = PLAN, wanted_count: int = 2) -> Sim:
    """A settled fleet whose northern site needs only `wanted_count` servers from now on."""
    sim = Sim(plan, 5)
    for number in sim.hosts:
        sim.start(number)
    assert sim.run(60.0, sim.is_settled)
    for host in sim.hosts.values():
        set_wanted(host.node, wanted_count)
    return sim


def set_wanted(node: object, wanted_count: int) -> None:
    site = node.plan.site  # type: ignore[attr-defined]

    def wanted(now: float, alive: Mapping[str, int]) -> Mapping[str, int]:
        return {"x": wanted_count if site == "north" else 2}

    node._wanted_servers = wanted  # type: ignore[attr-defined]
    if node.reconciler:  # type: ignore[attr-defined]
        node.reconciler.wanted_servers = wanted  # type: ignore[attr-defined]


def alive(sim: Sim) -> int:
    return sim.yard.site("north").alive["x"]


def test_lasting_surplus_is_retired_once_and_frees_room_under_the_bound() -> None:
    sim = sim_with_low_demand()
    sim.run(sim.now + 9.0)
    assert alive(sim) == 6, "the surplus is shorter than `retire`"
    sim.run(sim.now + 6.0)
    assert alive(sim) == 2
    sim.run(sim.now + 40.0)
    assert alive(sim) == 2 and sum(e.count < 0 for e in sim.yard.tape) == 1
    leader = sim.leader()
    assert leader is not None
    duties = leader.duties
    sim.judge.check_end(sim.yard, duties)
    assert not any(sim.judge.counts.values()), sim.judge.notes
    assert duties.alive("north", "x") == 2 and not duties.group_state.orders


def test_only_the_minimum_surplus_of_the_whole_period_is_retired() -> None:
    sim = sim_with_low_demand(wanted_count=2)
    sim.run(sim.now + 7.0)
    for host in sim.hosts.values():
        set_wanted(host.node, 5)
    sim.run(sim.now + 6.0)
    assert alive(sim) == 5


def test_retiring_is_off_by_default() -> None:
    sim = sim_with_low_demand(replace(PLAN, intervals=Intervals()))
    sim.run(sim.now + 60.0)
    assert alive(sim) == 6


def test_with_an_agent_of_the_site_unheard_nothing_is_retired() -> None:
    """The demand of an unheard agent is missing from the sum, so apparent surplus may be needed."""
    sim = sim_with_low_demand(wanted_count=6)
    leader = sim.leader()
    assert leader is not None
    owner = leader.duties.group_state.duties["capacity/north"].owner
    unreachable = next(a for a in (1, 2) if a != owner)
    reconnect = sim.links.cut([(unreachable, a) for a in sim.hosts if a != unreachable])
    sim.run(sim.now + RATE_VALID_S + 1.0)
    for host in sim.hosts.values():
        set_wanted(host.node, 2)
    sim.run(sim.now + 40.0)
    assert alive(sim) == 6
    reconnect()
    sim.run(sim.now + 20.0)
    assert alive(sim) == 2


def test_an_owner_killed_while_it_retires_leaves_it_to_the_next_and_it_is_done_once() -> None:
    sim = sim_with_low_demand()
    leader = sim.leader()
    assert leader is not None
    owner = leader.duties.group_state.duties["capacity/north"].owner
    assert owner is not None
    reconnect = sim.links.cut([(YARD, owner)])  # the yard's answers are lost

    def done() -> bool:
        return any(e.count < 0 for e in sim.yard.tape)

    sim.run(sim.now + 12.0, done)
    sim.kill(owner)
    reconnect()
    sim.run(sim.now + 4.0)
    sim.start(owner)
    set_wanted(sim.hosts[owner].node, 2)
    for host in sim.hosts.values():
        if host.node is not None:
            set_wanted(host.node, 2)
    sim.run(sim.now + 40.0)
    assert alive(sim) == 2 and not any(sim.judge.counts.values())


def test_with_run_times_unknown_nothing_is_known_to_be_too_many() -> None:
    known = Estimate(100.0, 80.0, 120.0, "")
    assert servers_needed({"a": 5.0}, {"a": known}, 1.0, 9, Sizing()).known
    assert not servers_needed({"a": 5.0, "b": 1.0}, {"a": known}, 1.0, 9, Sizing()).known
