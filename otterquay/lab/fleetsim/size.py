"""Measures coordination cost by fleet size in simulation: message rates at rest, and time without an owner."""

from __future__ import annotations

from dataclasses import dataclass

from otterquay.fleet.plan import Plan
from otterquay.lab.fleetsim.world import Sim


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one fleet size.

    `messages` (all) and `words` (those of class Word) are per agent and second at rest; `unowned` lists the seconds
    that a duty had no owner after a kill.
    """

    agents: int
    sites: int
    messages: float
    words: float
    unowned: list[float]


def measure(agents: int, site_size: int, kills: int, seed: int = 1, rest_s: float = 20.0) -> Cost:
    """Measure a fleet at rest, then kill owners. It has five members, or three if it has under five agents."""
    site_count = max(agents // site_size, 1)
    sites = {n: f"s{n % site_count}" for n in range(agents)}
    members = tuple(range(5 if agents >= 5 else 3))
    wants = {name: {"x": 1} for name in sites.values()}
    sim = Sim(Plan(0, members, sites, 4 * site_count, 1, wants), seed)
    for number in sim.hosts:
        sim.start(number)
    if not sim.run(90.0, sim.is_settled):
        raise RuntimeError(f"{agents} agents did not settle")
    sim.messages.clear()
    started_at = sim.now
    sim.run(sim.now + rest_s)
    agent_seconds = (sim.now - started_at) * agents
    messages, words = sum(sim.messages.values()) / agent_seconds, sim.messages["Word"] / agent_seconds
    unowned = []
    for i in range(kills):
        leader = sim.leader()
        assert leader is not None
        duty = f"capacity/s{i % site_count}"
        state = leader.duties.group_state.duties[duty]
        if state.owner is None or state.owner in members:
            continue
        killed, token, killed_at = state.owner, state.token, sim.now
        sim.kill(killed)

        def granted_anew(duty: str = duty, token: object = token) -> bool:
            current = sim.leader()
            return current is not None and current.duties.group_state.duties[duty].token != token

        if sim.run(sim.now + 60.0, granted_anew):
            unowned.append(sim.now - killed_at)
        sim.start(killed)
        sim.run(sim.now + 3.0)
    return Cost(agents, site_count, messages, words, sorted(unowned))
