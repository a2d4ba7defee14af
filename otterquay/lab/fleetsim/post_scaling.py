"""Measures the cost of posts by fleet size in simulation.

At rest: messages and log entries. Moves and time without a holder: while single agents are killed and return, in a
rolling restart of a tenth at a time, and after a kill of seven in ten agents.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field

from otterquay.fleet.plan import Intervals, Plan
from otterquay.lab.fleetsim.world import Sim

OWES_S = 8.0  # time within which the owner of a post must have reported progress
SAMPLE_INTERVAL_S = 0.25


@dataclass(slots=True)
class Cost:
    """Lists hold one value per event; `beyond` counts moves beyond the share of the agent that left or returned."""

    agents: int
    posts: int
    messages: float = 0.0  # per agent and second at rest
    entries: float = 0.0  # of the group's log, per second at rest
    loads: tuple[int, int] = (0, 0)  # fewest and most posts held by one agent
    beyond: int = 0
    moves: list[int] = field(default_factory=list)
    unheld_s: list[float] = field(default_factory=list)  # from a kill until all of the agent's posts are held again
    back_s: list[float] = field(default_factory=list)  # from an agent's return until it holds its share
    rolled_s: float = 0.0  # duration of the rolling restart
    rolled_unheld: float = 0.0  # mean share of posts without a holder during the rolling restart
    most_killed_s: float = 0.0  # from the kill of seven in ten agents until all posts are held again


class Fleet:
    """A simulated fleet, brought to rest on creation."""

    def __init__(self, agents: int, sites: int, kinds: int, seed: int) -> None:
        self.sites = {n: f"s{n % sites}" for n in range(agents)}
        self.members = tuple(range(5))
        wants = {f"s{i}": {f"k{j}": 1 for j in range(kinds)} for i in range(sites)}
        plan = Plan(0, self.members, self.sites, 2 * sites * kinds, 1, wants, intervals=Intervals(owes=OWES_S))
        self.sim = Sim(plan, seed)
        self.sim.max_events = 10**9
        self.rng = random.Random(seed)
        for number in self.sim.hosts:
            self.sim.start(number)
        if not self.sim.run(120.0, self.sim.is_settled):
            raise RuntimeError(f"{agents} agents did not settle")
        self.sim.run(self.sim.now + 2 * OWES_S)

    def owners(self) -> dict[str, int | None]:
        """The owner of each post by the leader's log."""
        leader = self.sim.leader()
        return {} if leader is None else {n: p.owner for n, p in leader.duties.group_state.posts.posts.items()}

    def held(self) -> set[str]:
        """Posts that some running agent holds now."""
        return {
            post for h in self.sim.hosts.values() if h.node is not None for post in h.node.holder.held(self.sim.now)
        }

    def until_held(self, posts: set[str], timeout_s: float = 120.0) -> float:
        """Seconds until all of these are held."""
        started_at, next_check = self.sim.now, [self.sim.now]

        def all_held() -> bool:
            if self.sim.now < next_check[0]:
                return False
            next_check[0] = self.sim.now + 0.05
            return posts <= self.held()

        self.sim.run(self.sim.now + timeout_s, all_held)
        return self.sim.now - started_at


def measure(agents: int, sites: int, kinds: int, kills: int, seed: int = 1, rest_s: float = 20.0) -> Cost:
    """Run one fleet through all phases."""
    fleet = Fleet(agents, sites, kinds, seed)
    sim = fleet.sim
    cost = Cost(agents, len(fleet.owners()))
    leader = sim.leader()
    assert leader is not None and leader.member is not None
    sim.messages.clear()
    started_at, first = sim.now, leader.member.last_applied
    sim.run(sim.now + rest_s)
    cost.messages = sum(sim.messages.values()) / (sim.now - started_at) / agents
    cost.entries = (leader.member.last_applied - first) / (sim.now - started_at)
    loads = Counter(a for a in fleet.owners().values() if a is not None)
    cost.loads = min(loads.get(a, 0) for a in fleet.sites), max(loads.values())
    share = cost.posts / agents
    for _ in range(kills):
        owners = fleet.owners()
        one = fleet.rng.choice([a for a in sorted(set(fleet.sites) - set(fleet.members)) if a in owners.values()])
        its_posts = {post for post, owner in owners.items() if owner == one}
        before = len(sim.judge.moves)
        sim.kill(one)
        cost.unheld_s.append(fleet.until_held(its_posts))
        sim.run(sim.now + 3.0)
        moved = len(sim.judge.moves) - before
        before = len(sim.judge.moves)
        started_at = sim.now
        sim.start(one)
        sim.run(
            sim.now + 20.0,
            lambda one=one: sum(  # type: ignore[misc]
                o == one for o in fleet.owners().values()
            )
            >= math.floor(share),
        )
        cost.back_s.append(sim.now - started_at)
        sim.run(sim.now + 3.0)
        back = len(sim.judge.moves) - before
        cost.moves += [moved, back]
        cost.beyond += max(moved - len(its_posts), 0) + max(back - math.ceil(share), 0)
    _roll(fleet, cost)
    some = fleet.rng.sample(sorted(fleet.sites), 7 * agents // 10)
    for number in some:
        sim.kill(number)
    sim.run(sim.now + 3.0)
    for number in some:
        sim.start(number)
    cost.most_killed_s = 3.0 + fleet.until_held(set(fleet.owners()))
    return cost


def _roll(fleet: Fleet, cost: Cost) -> None:
    """Restart all agents by SIGTERM, a tenth at a time, each part after the one before has returned."""
    sim, numbers = fleet.sim, sorted(fleet.sites)
    started_at, unheld_shares = sim.now, []
    step = max(len(numbers) // 10, 1)
    for i in range(0, len(numbers), step):
        for number in numbers[i : i + step]:
            sim.terminate(number)
        for phase in ("ends", "starts", ""):
            for _ in range(4 if phase else 12):
                sim.run(sim.now + SAMPLE_INTERVAL_S)
                unheld_shares.append(1 - len(fleet.held()) / cost.posts)
            for number in numbers[i : i + step]:
                if phase == "ends":
                    sim.kill(number)
                elif phase == "starts":
                    sim.start(number)
    cost.rolled_s, cost.rolled_unheld = sim.now - started_at, sum(unheld_shares) / len(unheld_shares)
