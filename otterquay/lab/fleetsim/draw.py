"""Days drawn from a seed: a fleet, several faults over each other, then all heals and the books are looked at."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass, field, replace
from typing import Any

from blake3 import blake3

from otterquay.fleet.plan import Plan
from otterquay.lab.fleetsim.world import YARD, EventLimitError, Sim, both_directions

FAULTS = (
    "kill",
    "kill_many",
    "kill_leader",
    "kill_owner",
    "kill_coordinator",
    "stall",
    "stall_owner",
    "stall_coordinator",
    "cut_agent",
    "one_way",
    "cut_site",
    "cut_site_long",
    "split_site",
    "flap_site",
    "lose_majority",
    "empty_disk",
    "old_disk",
    "failing_disk",
    "slow_disk",
    "loss",
    "repeats",
    "slow_links",
    "yard_loss",
    "yard_late",
    "yard_half",
    "yard_cut",
    "servers_end",
)
SPREAD = (*FAULTS, "gray_owner", "gray_agent", "roll", "kill_most", "kill_leader", "stall_owner")
GIVEN = (*SPREAD, "leader_ends", "leaders_slow_disk", "leader_ends", "roll")  # places that are given away
OWES_S = 6.0
QUIET_S = 240.0  # a fleet that is not at rest this long after all has healed counts as stuck


@dataclass(slots=True)
class Day:
    """What one seed came to."""

    seed: int
    faults: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)
    rested: bool = False
    rest_s: float = 0.0
    coordinators: int = 0
    acts: int = 0
    grants: int = 0
    digest: str = ""

    @property
    def bad(self) -> bool:
        """Whether anything that must not be was."""
        return any(self.counts.values())


def plan_of(rng: random.Random) -> Plan:
    """A fleet of four to twelve agents, three or five of them members."""
    names = ["north", "south", "east"][: rng.randint(2, 3)]
    sizes = [rng.choice([1, 2, 3, 3, 4, 5]) for _ in names]
    while sum(sizes) < 4:
        sizes[0] += 1
    sites: dict[int, str] = {}
    for name, size in zip(names, sizes, strict=True):
        for _ in range(size):
            sites[len(sites)] = name
    count = 5 if len(sites) >= 6 and rng.random() < 0.4 else 3
    members = tuple(sorted(rng.sample(sorted(sites), count)))
    wants = {
        name: {kind: rng.randint(1, 6) for kind in rng.sample(["a", "b", "c"], rng.randint(1, 2))} for name in names
    }
    total = sum(sum(w.values()) for w in wants.values())
    return Plan(0, members, sites, total + rng.randint(0, 12), rng.randint(1, 5), wants)


class Drawn:
    """The faults of one day, by their names."""

    def __init__(self, sim: Sim, rng: random.Random) -> None:
        self.sim, self.rng, self.plan = sim, rng, sim.plan
        self.agents = sorted(sim.hosts)
        self.emptied: set[int] = set()
        self.copies: dict[int, Any] = {}
        self.heals: list[Callable[[], None]] = []
        self.healed = False

    def begin(self, name: str) -> None:
        """A fault, for as long as it lasts."""
        lasts = self.rng.choice([0.5, 2.0, 5.0, 9.0, 14.0])
        getattr(self, f"_{name}")(lasts)

    def _later(self, lasts: float, undo: Callable[[], None]) -> None:
        done = [False]

        def once() -> None:
            if not done[0]:
                done[0] = True
                undo()

        self.heals.append(once)
        self.sim.schedule(self.sim.now + lasts, once)

    def heal(self) -> None:
        """All at once: links, disks and processes are whole again."""
        self.healed = True
        for undo in self.heals:
            undo()
        self.heals.clear()
        for number, host in self.sim.hosts.items():
            if host.node is None:
                self.sim.start(number)

    # --- processes ---
    def _down(self, numbers: list[int], lasts: float) -> None:
        for number in numbers:
            if self.sim.hosts[number].node is not None:
                self.sim.kill(number)

                def up(number: int = number) -> None:
                    if self.sim.hosts[number].node is None:
                        self.sim.start(number)

                self._later(lasts, up)

    def _kill(self, lasts: float) -> None:
        self._down([self.rng.choice(self.agents)], lasts)

    def _kill_many(self, lasts: float) -> None:
        self._down(self.rng.sample(self.agents, self.rng.randint(2, len(self.agents))), lasts)

    def _who(self, what: Callable[[Any], bool]) -> list[int]:
        found = [n for n in self.agents if (node := self.sim.hosts[n].node) and what(node)]
        return found or [self.rng.choice(self.agents)]

    def _kill_leader(self, lasts: float) -> None:
        self._down(self._who(lambda n: n.member and n.member.role.value == "leader")[:1], lasts)

    def _kill_owner(self, lasts: float) -> None:
        self._down([self.rng.choice(self._who(lambda n: bool(n.held)))], lasts)

    def _kill_coordinator(self, lasts: float) -> None:
        self._down([self.rng.choice(self._who(lambda n: n.site.role.value == "coordinator"))], lasts)

    def _still(self, number: int, lasts: float) -> None:
        self.sim.stall(number, True)

        def go_on() -> None:
            if self.sim.hosts[number].stalled:
                self.sim.stall(number, False)

        self._later(lasts, go_on)

    def _stall(self, lasts: float) -> None:
        self._still(self.rng.choice(self.agents), lasts)

    def _stall_owner(self, lasts: float) -> None:
        self._still(self.rng.choice(self._who(lambda n: bool(n.held))), lasts)

    def _stall_coordinator(self, lasts: float) -> None:
        self._still(self.rng.choice(self._who(lambda n: n.site.role.value == "coordinator")), lasts)

    # --- links ---
    def _cut(self, pairs: list[tuple[int, int]], lasts: float) -> None:
        self._later(lasts, self.sim.links.cut(pairs))

    def _cut_agent(self, lasts: float) -> None:
        one = self.rng.choice(self.agents)
        self._cut(both_directions([one], self.agents), lasts)

    def _one_way(self, lasts: float) -> None:
        one = self.rng.choice(self.agents)
        others = self.rng.sample(self.agents, self.rng.randint(1, len(self.agents)))
        pairs = [(one, o) for o in others if o != one]
        self._cut(pairs if self.rng.random() < 0.5 else [(b, a) for a, b in pairs], lasts)

    def _site(self) -> tuple[list[int], list[int]]:
        name = self.rng.choice(self.plan.names())
        inside = list(self.plan.agents_of(name))
        return inside, [a for a in self.agents if a not in inside]

    def _cut_site(self, lasts: float) -> None:
        inside, outside = self._site()
        self._cut(both_directions(inside, outside), lasts)

    def _cut_site_long(self, lasts: float) -> None:
        inside, outside = self._site()
        self._cut(both_directions(inside, outside), lasts + 20.0)
        self.sim.yard.end(self.plan.sites[inside[0]], "a", 2)
        self.sim.yard.end(self.plan.sites[inside[0]], "b", 2)

    def _split_site(self, lasts: float) -> None:
        inside, outside = self._site()
        part = self.rng.sample(inside, len(inside) // 2)
        rest = [a for a in inside if a not in part]
        self._cut(
            both_directions(inside, outside) if self.rng.random() < 0.5 else both_directions(rest, outside),
            lasts + 10.0,
        )
        self._cut(both_directions(part, rest), lasts + 10.0)

    def _flap_site(self, lasts: float) -> None:
        inside, outside = self._site()
        pairs = both_directions(inside, outside)

        def again(left: int) -> None:
            if left:
                undo = self.sim.links.cut(pairs)
                self._later(self.rng.uniform(0.5, 6.0), undo)
                self.sim.schedule(self.sim.now + self.rng.uniform(1.0, 8.0), lambda: again(left - 1))

        again(self.rng.randint(2, 5))

    def _lose_majority(self, lasts: float) -> None:
        members = list(self.plan.members)
        self._down(self.rng.sample(members, len(members) // 2 + 1), lasts + 6.0)

    def _loss(self, lasts: float) -> None:
        was, self.sim.links.loss = self.sim.links.loss, self.rng.choice([0.05, 0.2, 0.5])
        self._later(lasts, lambda: setattr(self.sim.links, "loss", 0.0 if was else was))

    def _repeats(self, lasts: float) -> None:
        self.sim.links.repeat = 0.3
        self._later(lasts, lambda: setattr(self.sim.links, "repeat", 0.0))

    def _slow_links(self, lasts: float) -> None:
        one = self.rng.choice(self.agents)
        slow = self.sim.links.slow
        for other in [*self.agents, YARD]:
            slow[one, other] = self.rng.choice([0.3, 1.0, 3.0])
        self._later(lasts, slow.clear)

    # --- disks ---
    def _empty_disk(self, lasts: float) -> None:
        one = self.rng.choice(self.agents)
        if one in self.plan.members:
            if len(self.emptied) >= (len(self.plan.members) - 1) // 2:
                return
            self.emptied.add(one)
        self.sim.kill(one)
        self.sim.hosts[one].disk = {}
        self._down_again(one, lasts)

    def _down_again(self, one: int, lasts: float) -> None:
        def up() -> None:
            if self.sim.hosts[one].node is None:
                self.sim.start(one)

        self._later(lasts, up)

    def _old_disk(self, lasts: float) -> None:
        """A copy is taken now; after a restart and some more work it takes the disk's place.

        A member's does so while the other members run and hear each other: what is assumed of disks
        (docs/duties.md) is that an older copy does not come back while all that know better are away.
        """
        one = self.rng.choice(self.agents)
        if one in self.plan.members:
            if len(self.emptied) >= (len(self.plan.members) - 1) // 2:
                return
            self.emptied.add(one)
        copy = deepcopy(self.sim.hosts[one].disk)
        self._down([one], 0.2)

        def back() -> None:
            away = (
                self.sim.links.cuts
                or self.sim.links.loss
                or self.sim.links.slow
                or any(h.node is None or h.stalled or h.node.broken for h in self.sim.hosts.values())
            )
            if one in self.plan.members and away:
                if not self.healed:
                    self.sim.schedule(self.sim.now + 1.0, back)
                return
            self.sim.kill(one)
            self.sim.hosts[one].disk = copy
            self._down_again(one, 0.1)

        self.sim.schedule(self.sim.now + 4.0 + lasts, back)

    def _failing_disk(self, lasts: float) -> None:
        one = self.rng.choice(self.agents)
        self.sim.hosts[one].failing = True

        def mend() -> None:
            self.sim.hosts[one].failing = False
            if (node := self.sim.hosts[one].node) is not None and node.broken:
                self.sim.kill(one)
                self.sim.start(one)

        self._later(lasts, mend)

    def _slow_disk(self, lasts: float) -> None:
        was, self.sim.disk_s = self.sim.disk_s, 0.2
        self._later(lasts, lambda: setattr(self.sim, "disk_s", min(was, 0.003)))

    # --- the yard ---
    def _yard_loss(self, lasts: float) -> None:
        self.sim.yard_loss = 0.5
        self._later(lasts, lambda: setattr(self.sim, "yard_loss", 0.0))

    def _yard_late(self, lasts: float) -> None:
        self.sim.yard_late = self.rng.choice([1.0, 6.0])
        self._later(lasts, lambda: setattr(self.sim, "yard_late", 0.0))

    def _yard_half(self, lasts: float) -> None:
        self.sim.yard.half = 0.8
        self._later(lasts, lambda: setattr(self.sim.yard, "half", 0.0))

    def _yard_cut(self, lasts: float) -> None:
        one = self.rng.choice(self.agents)
        pairs = [(one, YARD), (YARD, one)]
        self._cut(pairs[: self.rng.randint(1, 2)], lasts)

    # --- owners that are there and do nothing; all agents restarted, or most killed ---
    def _gray(self, one: int, lasts: float) -> None:
        self._cut([(one, YARD), (YARD, one)], lasts + 4 * OWES_S)

    def _gray_owner(self, lasts: float) -> None:
        self._gray(self.rng.choice(self._who(lambda n: bool(n.work))), lasts)
        self.sim.yard.end(self.rng.choice(self.plan.names()), "a", 2)

    def _gray_agent(self, lasts: float) -> None:
        self._gray(self.rng.choice(self.agents), lasts)

    def _roll(self, lasts: float) -> None:
        """SIGTERM to one after the other: each hands over, ends, and comes back."""

        def terminate(number: int) -> None:
            if self.sim.hosts[number].node is not None and not self.sim.hosts[number].stalled:
                self.sim.terminate(number)
                self.sim.schedule(self.sim.now + 1.0, lambda: self._down([number], 1.0))

        for i, number in enumerate(self.agents):
            self.sim.schedule(self.sim.now + 0.7 * i, lambda n=number: None if self.healed else terminate(n))  # type: ignore[misc]

    def _leader_ends(self, lasts: float) -> None:
        one = self._who(lambda n: n.member and n.member.role.value == "leader")[0]
        self.sim.terminate(one)
        self.sim.schedule(self.sim.now + 1.0, lambda: None if self.healed else self._down([one], lasts))

    def _leaders_slow_disk(self, lasts: float) -> None:
        host = self.sim.hosts[self._who(lambda n: n.member and n.member.role.value == "leader")[0]]
        host.slow_s = self.rng.choice([0.3, 0.5, 1.5])
        self._later(lasts + 5.0, lambda: setattr(host, "slow_s", 0.0))

    def _kill_most(self, lasts: float) -> None:
        self._down(self.rng.sample(self.agents, max(7 * len(self.agents) // 10, 1)), lasts)

    def _servers_end(self, lasts: float) -> None:
        kind = self.rng.choice(["a", "b", "c"])
        self.sim.yard.end(self.rng.choice(self.plan.names()), kind, self.rng.randint(1, 3))


def play(
    seed: int,
    alter: Callable[[Sim], None] = lambda sim: None,
    faults: int = 0,
    only: tuple[str, ...] = FAULTS,
    owes: float = 0.0,
) -> Day:
    """One drawn day; `alter` takes a guard out before it begins. With `owes` the fleet has posts."""
    rng = random.Random(seed)
    plan = plan_of(rng)
    sim = Sim(replace(plan, pace=replace(plan.pace, owes=owes)), seed)
    alter(sim)
    day = Day(seed)
    drawn = Drawn(sim, rng)
    for number in drawn.agents:
        sim.schedule(rng.random(), lambda n=number: sim.start(n))  # type: ignore[misc]
    sim.run(rng.uniform(5.0, 12.0))
    for _ in range(faults or rng.randint(3, 9)):
        name = rng.choice(only)
        day.faults.append(name)
        drawn.begin(name)
        if rng.random() < 0.5:
            sim.yard.end(rng.choice(sim.plan.names()), rng.choice(["a", "b", "c"]), 1)
        sim.run(sim.now + rng.choice([0.05, 0.5, 2.0, 6.0, 12.0]))
    sim.run(sim.now + rng.uniform(0.0, 6.0))
    drawn.heal()
    healed = sim.now
    with contextlib.suppress(EventLimitError):
        day.rested = sim.run(sim.now + QUIET_S, sim.is_settled)
        day.rest_s = sim.now - healed
        sim.run(sim.now + 3.0)
    if (leader := sim.leader()) is not None:
        sim.judge.check_end(sim.yard, leader.duties)
        day.acts, day.grants = leader.duties.whole.acts, leader.duties.whole.tokens
    day.counts = {**sim.judge.summary(), "stale_reads": sim.judge.counts["stale_reads"]}  # seen from inside alone
    day.notes = sim.judge.notes
    day.coordinators = len(sim.judge.leads)
    told = repr((sorted(sim.messages.items()), sim.yard.tape, day.counts, round(sim.now, 9), day.grants))
    day.digest = blake3(told.encode()).hexdigest()[:16]
    return day
