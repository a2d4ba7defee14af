"""What the posts cost by size, on simulated time: messages and entries at rest, moves and time without a holder as
agents go, come back, are restarted a tenth at a time, or die by seven in ten.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field

from otterquay.fleet.plan import Pace, Plan
from otterquay.lab.fleetsim.world import Sim

OWES_S = 8.0
STEP_S = 0.25


@dataclass(slots=True)
class Cost:
    """Lists hold each event; `beyond` counts moves over the share of the agent that went or came."""

    agents: int
    posts: int
    messages: float = 0.0  # an agent a second at rest
    entries: float = 0.0  # of the group's log, a second at rest
    loads: tuple[int, int] = (0, 0)  # least and most posts of an agent
    beyond: int = 0
    moves: list[int] = field(default_factory=list)
    unheld_s: list[float] = field(default_factory=list)  # from a kill until all that it held is held again
    back_s: list[float] = field(default_factory=list)  # from its return until it holds its share
    rolled_s: float = 0.0
    rolled_unheld: float = 0.0  # mean part of the posts that nobody held while all were restarted
    most_killed_s: float = 0.0


class Fleet:
    """A fleet at rest, and what is done to it."""

    def __init__(self, agents: int, sites: int, kinds: int, seed: int) -> None:
        self.where = {n: f"s{n % sites}" for n in range(agents)}
        self.members = tuple(range(5))
        wants = {f"s{i}": {f"k{j}": 1 for j in range(kinds)} for i in range(sites)}
        plan = Plan(0, self.members, self.where, 2 * sites * kinds, 1, wants, pace=Pace(owes=OWES_S))
        self.sim = Sim(plan, seed)
        self.sim.max_events = 10**9
        self.rng = random.Random(seed)
        for number in self.sim.hosts:
            self.sim.start(number)
        if not self.sim.run(120.0, self.sim.is_settled):
            raise RuntimeError(f"{agents} agents did not come to rest")
        self.sim.run(self.sim.now + 2 * OWES_S)

    def owners(self) -> dict[str, int | None]:
        """By post, as a leader's log has it."""
        leader = self.sim.leader()
        return {} if leader is None else {n: p.owner for n, p in leader.duties.whole.spread.posts.items()}

    def held(self) -> set[str]:
        """Posts that some running agent may act on now."""
        return {
            post for h in self.sim.hosts.values() if h.node is not None for post in h.node.holder.held(self.sim.now)
        }

    def until_held(self, posts: set[str], most: float = 120.0) -> float:
        """Seconds until all of these are held."""
        begun, due = self.sim.now, [self.sim.now]

        def done() -> bool:
            if self.sim.now < due[0]:
                return False
            due[0] = self.sim.now + 0.05
            return posts <= self.held()

        self.sim.run(self.sim.now + most, done)
        return self.sim.now - begun


def measure(agents: int, sites: int, kinds: int, kills: int, seed: int = 1, rest_s: float = 20.0) -> Cost:
    """One fleet through all of it."""
    fleet = Fleet(agents, sites, kinds, seed)
    sim = fleet.sim
    cost = Cost(agents, len(fleet.owners()))
    leader = sim.leader()
    assert leader is not None and leader.member is not None
    sim.messages.clear()
    begun, first = sim.now, leader.member.done
    sim.run(sim.now + rest_s)
    cost.messages = sum(sim.messages.values()) / (sim.now - begun) / agents
    cost.entries = (leader.member.done - first) / (sim.now - begun)
    loads = Counter(a for a in fleet.owners().values() if a is not None)
    cost.loads = min(loads.get(a, 0) for a in fleet.where), max(loads.values())
    share = cost.posts / agents
    for _ in range(kills):
        owners = fleet.owners()
        one = fleet.rng.choice([a for a in sorted(set(fleet.where) - set(fleet.members)) if a in owners.values()])
        mine = {post for post, owner in owners.items() if owner == one}
        before = len(sim.judge.moves)
        sim.kill(one)
        cost.unheld_s.append(fleet.until_held(mine))
        sim.run(sim.now + 3.0)
        moved = len(sim.judge.moves) - before
        before = len(sim.judge.moves)
        begun = sim.now
        sim.start(one)
        sim.run(
            sim.now + 20.0,
            lambda one=one: sum(  # type: ignore[misc]
                o == one for o in fleet.owners().values()
            )
            >= math.floor(share),
        )
        cost.back_s.append(sim.now - begun)
        sim.run(sim.now + 3.0)
        back = len(sim.judge.moves) - before
        cost.moves += [moved, back]
        cost.beyond += max(moved - len(mine), 0) + max(back - math.ceil(share), 0)
    _roll(fleet, cost)
    some = fleet.rng.sample(sorted(fleet.where), 7 * agents // 10)
    for number in some:
        sim.kill(number)
    sim.run(sim.now + 3.0)
    for number in some:
        sim.start(number)
    cost.most_killed_s = 3.0 + fleet.until_held(set(fleet.owners()))
    return cost


def _roll(fleet: Fleet, cost: Cost) -> None:
    """All agents by SIGTERM, a tenth at a time, each part once the one before is back."""
    sim, numbers = fleet.sim, sorted(fleet.where)
    begun, parts = sim.now, []
    step = max(len(numbers) // 10, 1)
    for i in range(0, len(numbers), step):
        for number in numbers[i : i + step]:
            sim.terminate(number)
        for phase in ("ends", "starts", ""):
            for _ in range(4 if phase else 12):
                sim.run(sim.now + STEP_S)
                parts.append(1 - len(fleet.held()) / cost.posts)
            for number in numbers[i : i + step]:
                if phase == "ends":
                    sim.kill(number)
                elif phase == "starts":
                    sim.start(number)
    cost.rolled_s, cost.rolled_unheld = sim.now - begun, sum(parts) / len(parts)
