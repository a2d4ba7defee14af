"""What the fleet's work costs by size, on simulated time: messages at rest, time without an owner after a kill."""

from __future__ import annotations

from dataclasses import dataclass

from otterquay.fleet.plan import Plan
from otterquay.lab.fleetsim.world import Sim


@dataclass(frozen=True, slots=True)
class Cost:
    """Messages an agent a second at rest, of all and of the site's words; seconds without owner after kills."""

    agents: int
    sites: int
    messages: float
    words: float
    unowned: list[float]


def measure(agents: int, site_size: int, kills: int, seed: int = 1, rest_s: float = 20.0) -> Cost:
    """A fleet of sites of that size and five members (three under five agents), at rest and then with owners
    killed.
    """
    count = max(agents // site_size, 1)
    sites = {n: f"s{n % count}" for n in range(agents)}
    members = tuple(range(5 if agents >= 5 else 3))
    wants = {name: {"x": 1} for name in set(sites.values())}
    sim = Sim(Plan(0, members, sites, 4 * count, 1, wants), seed)
    for number in sim.hosts:
        sim.start(number)
    if not sim.run(90.0, sim.is_settled):
        raise RuntimeError(f"{agents} agents did not come to rest")
    sim.messages.clear()
    begun = sim.now
    sim.run(sim.now + rest_s)
    span = (sim.now - begun) * agents
    messages, words = sum(sim.messages.values()) / span, sim.messages["Word"] / span
    unowned = []
    for turn in range(kills):
        leader = sim.leader()
        assert leader is not None
        duty = f"capacity/s{turn % count}"
        state = leader.duties.whole.duties[duty]
        if state.owner is None or state.owner in members:
            continue
        killed, token, at = state.owner, state.token, sim.now
        sim.kill(killed)

        def again(duty: str = duty, token: object = token) -> bool:
            now = sim.leader()
            return now is not None and now.duties.whole.duties[duty].token != token

        if sim.run(sim.now + 60.0, again):
            unowned.append(sim.now - at)
        sim.start(killed)
        sim.run(sim.now + 3.0)
    return Cost(agents, count, messages, words, sorted(unowned))
