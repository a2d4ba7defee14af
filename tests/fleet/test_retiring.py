"""Servers that are too many for long are retired: once, under a token, and never where something may be missing."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from otterquay.fleet.plan import Pace, Plan
from otterquay.lab.fleetsim.world import YARD, Sim
from otterquay.runtimes.demand import FRESH_S
from otterquay.runtimes.machine import Estimate
from otterquay.runtimes.sizing import Sizing, needed

PLAN = Plan(
    0,
    (0, 3, 4),
    {0: "north", 1: "north", 2: "north", 3: "south", 4: "south", 5: "south"},
    20,
    2,
    {"north": {"x": 6}, "south": {"x": 2}},
    pace=Pace(retire=10.0),
)


def fallen(plan: Plan = PLAN, least: int = 2) -> Sim:
    """A fleet at rest whose northern site needs no more than `least` from now on."""
    sim = Sim(plan, 5)
    for number in sim.hosts:
        sim.start(number)
    assert sim.run(60.0, sim.is_settled)
    for host in sim.hosts.values():
        want(host.node, least)
    return sim


def want(node: object, least: int) -> None:
    site = node.plan.site  # type: ignore[attr-defined]

    def wanted(now: float, alive: Mapping[str, int]) -> Mapping[str, int]:
        return {"x": least if site == "north" else 2}

    node._want = wanted  # type: ignore[attr-defined]
    if node.work:  # type: ignore[attr-defined]
        node.work.want = wanted  # type: ignore[attr-defined]


def alive(sim: Sim) -> int:
    return sim.yard.site("north").alive["x"]


def test_what_was_too_many_for_long_goes_once_and_the_bound_has_room_again() -> None:
    sim = fallen()
    sim.run(sim.now + 9.0)
    assert alive(sim) == 6, "a lull"
    sim.run(sim.now + 6.0)
    assert alive(sim) == 2
    sim.run(sim.now + 40.0)
    assert alive(sim) == 2 and sum(e.count < 0 for e in sim.yard.tape) == 1
    leader = sim.leader()
    assert leader is not None
    duties = leader.duties
    sim.judge.check_end(sim.yard, duties)
    assert not any(sim.judge.counts.values()), sim.judge.notes
    assert duties.alive("north", "x") == 2 and not duties.whole.orders


def test_no_more_goes_than_was_too_many_all_the_while() -> None:
    sim = fallen(least=2)
    sim.run(sim.now + 7.0)
    for host in sim.hosts.values():
        want(host.node, 5)
    sim.run(sim.now + 6.0)
    assert alive(sim) == 5


def test_it_is_off_unless_asked_for() -> None:
    sim = fallen(replace(PLAN, pace=Pace()))
    sim.run(sim.now + 60.0)
    assert alive(sim) == 6


def test_with_an_agent_of_the_site_unheard_nothing_is_retired() -> None:
    """Its demand is missing from the sum: what looks too many may be needed."""
    sim = fallen(least=6)
    leader = sim.leader()
    assert leader is not None
    owner = leader.duties.whole.duties["capacity/north"].owner
    away = next(a for a in (1, 2) if a != owner)
    heal = sim.links.cut([(away, a) for a in sim.hosts if a != away])
    sim.run(sim.now + FRESH_S + 1.0)
    for host in sim.hosts.values():
        want(host.node, 2)
    sim.run(sim.now + 40.0)
    assert alive(sim) == 6
    heal()
    sim.run(sim.now + 20.0)
    assert alive(sim) == 2


def test_an_owner_killed_while_it_retires_leaves_it_to_the_next_and_it_is_done_once() -> None:
    sim = fallen()
    leader = sim.leader()
    assert leader is not None
    owner = leader.duties.whole.duties["capacity/north"].owner
    assert owner is not None
    heal = sim.links.cut([(YARD, owner)])  # the yard's answers get lost

    def done() -> bool:
        return any(e.count < 0 for e in sim.yard.tape)

    sim.run(sim.now + 12.0, done)
    sim.kill(owner)
    heal()
    sim.run(sim.now + 4.0)
    sim.start(owner)
    want(sim.hosts[owner].node, 2)
    for host in sim.hosts.values():
        if host.node is not None:
            want(host.node, 2)
    sim.run(sim.now + 40.0)
    assert alive(sim) == 2 and not any(sim.judge.counts.values())


def test_with_run_times_unknown_nothing_is_known_to_be_too_many() -> None:
    known = Estimate(100.0, 80.0, 120.0, "")
    assert needed({"a": 5.0}, {"a": known}, 1.0, 9, Sizing()).known
    assert not needed({"a": 5.0, "b": 1.0}, {"a": known}, 1.0, 9, Sizing()).known
