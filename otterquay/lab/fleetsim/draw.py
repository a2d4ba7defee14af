"""Plays days drawn from a seed: a fleet runs under several overlapping faults, all faults end, and the judge checks
the group's records against the yard's.
"""

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
# Each entry of a list is drawn with equal probability: a name that is listed twice is drawn twice as often.
POST_FAULTS = (*FAULTS, "gray_owner", "gray_agent", "roll", "kill_most", "kill_leader", "stall_owner")
# adds a handover by the leader, a leader with a slow disk, and more rolling restarts
HANDOVER_FAULTS = (*POST_FAULTS, "leader_ends", "leaders_slow_disk", "leader_ends", "roll")
OWES_S = 6.0  # time within which the owner of a post must have reported progress
SETTLE_TIMEOUT_S = 240.0  # a fleet that has not settled this long after the last fault counts as stuck


@dataclass(slots=True)
class Day:
    """The result of the day of one seed."""

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
        """Whether the judge counted any violation."""
        return any(self.counts.values())


def draw_plan(rng: random.Random) -> Plan:
    """Draw a fleet of four or more agents in two or three sites, with three or five of them as members."""
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
    total = sum(sum(kinds.values()) for kinds in wants.values())
    return Plan(0, members, sites, total + rng.randint(0, 12), rng.randint(1, 5), wants)


class FaultInjector:
    """Injects faults into one simulated day; the method for a fault is the fault's name after an underscore."""

    def __init__(self, sim: Sim, rng: random.Random) -> None:
        self.sim, self.rng, self.plan = sim, rng, sim.plan
        self.agents = sorted(sim.hosts)
        self.members_with_lost_disks: set[int] = set()
        self.copies: dict[int, Any] = {}
        self.pending_undos: list[Callable[[], None]] = []
        self.ended = False

    def inject(self, name: str) -> None:
        """Inject a fault for a drawn time."""
        duration_s = self.rng.choice([0.5, 2.0, 5.0, 9.0, 14.0])
        getattr(self, f"_{name}")(duration_s)

    def _undo_later(self, duration_s: float, undo: Callable[[], None]) -> None:
        done = [False]

        def undo_once() -> None:
            if not done[0]:
                done[0] = True
                undo()

        self.pending_undos.append(undo_once)
        self.sim.schedule(self.sim.now + duration_s, undo_once)

    def end_all(self) -> None:
        """End all faults: repair links and disks, and start processes that are down."""
        self.ended = True
        for undo in self.pending_undos:
            undo()
        self.pending_undos.clear()
        for number, host in self.sim.hosts.items():
            if host.node is None:
                self.sim.start(number)

    # --- processes ---
    def _down(self, numbers: list[int], duration_s: float) -> None:
        for number in numbers:
            if self.sim.hosts[number].node is not None:
                self.sim.kill(number)

                def start(number: int = number) -> None:
                    if self.sim.hosts[number].node is None:
                        self.sim.start(number)

                self._undo_later(duration_s, start)

    def _kill(self, duration_s: float) -> None:
        self._down([self.rng.choice(self.agents)], duration_s)

    def _kill_many(self, duration_s: float) -> None:
        self._down(self.rng.sample(self.agents, self.rng.randint(2, len(self.agents))), duration_s)

    def _agents_where(self, matches: Callable[[Any], bool]) -> list[int]:
        found = [n for n in self.agents if (node := self.sim.hosts[n].node) and matches(node)]
        return found or [self.rng.choice(self.agents)]

    def _kill_leader(self, duration_s: float) -> None:
        self._down(self._agents_where(lambda n: n.member and n.member.role.value == "leader")[:1], duration_s)

    def _kill_owner(self, duration_s: float) -> None:
        self._down([self.rng.choice(self._agents_where(lambda n: bool(n.owned)))], duration_s)

    def _kill_coordinator(self, duration_s: float) -> None:
        self._down([self.rng.choice(self._agents_where(lambda n: n.site.role.value == "coordinator"))], duration_s)

    def _stall_agent(self, number: int, duration_s: float) -> None:
        self.sim.stall(number, True)

        def resume() -> None:
            if self.sim.hosts[number].stalled:
                self.sim.stall(number, False)

        self._undo_later(duration_s, resume)

    def _stall(self, duration_s: float) -> None:
        self._stall_agent(self.rng.choice(self.agents), duration_s)

    def _stall_owner(self, duration_s: float) -> None:
        self._stall_agent(self.rng.choice(self._agents_where(lambda n: bool(n.owned))), duration_s)

    def _stall_coordinator(self, duration_s: float) -> None:
        self._stall_agent(
            self.rng.choice(self._agents_where(lambda n: n.site.role.value == "coordinator")), duration_s
        )

    # --- links ---
    def _cut(self, pairs: list[tuple[int, int]], duration_s: float) -> None:
        self._undo_later(duration_s, self.sim.links.cut(pairs))

    def _cut_agent(self, duration_s: float) -> None:
        one = self.rng.choice(self.agents)
        self._cut(both_directions([one], self.agents), duration_s)

    def _one_way(self, duration_s: float) -> None:
        one = self.rng.choice(self.agents)
        others = self.rng.sample(self.agents, self.rng.randint(1, len(self.agents)))
        pairs = [(one, o) for o in others if o != one]
        self._cut(pairs if self.rng.random() < 0.5 else [(b, a) for a, b in pairs], duration_s)

    def _site(self) -> tuple[list[int], list[int]]:
        name = self.rng.choice(self.plan.site_names())
        inside = list(self.plan.agents_of(name))
        return inside, [a for a in self.agents if a not in inside]

    def _cut_site(self, duration_s: float) -> None:
        inside, outside = self._site()
        self._cut(both_directions(inside, outside), duration_s)

    def _cut_site_long(self, duration_s: float) -> None:
        inside, outside = self._site()
        self._cut(both_directions(inside, outside), duration_s + 20.0)
        self.sim.yard.end(self.plan.sites[inside[0]], "a", 2)
        self.sim.yard.end(self.plan.sites[inside[0]], "b", 2)

    def _split_site(self, duration_s: float) -> None:
        inside, outside = self._site()
        part = self.rng.sample(inside, len(inside) // 2)
        rest = [a for a in inside if a not in part]
        self._cut(
            both_directions(inside, outside) if self.rng.random() < 0.5 else both_directions(rest, outside),
            duration_s + 10.0,
        )
        self._cut(both_directions(part, rest), duration_s + 10.0)

    def _flap_site(self, duration_s: float) -> None:
        inside, outside = self._site()
        pairs = both_directions(inside, outside)

        def flap(cuts_left: int) -> None:
            if cuts_left:
                undo = self.sim.links.cut(pairs)
                self._undo_later(self.rng.uniform(0.5, 6.0), undo)
                self.sim.schedule(self.sim.now + self.rng.uniform(1.0, 8.0), lambda: flap(cuts_left - 1))

        flap(self.rng.randint(2, 5))

    def _lose_majority(self, duration_s: float) -> None:
        members = list(self.plan.members)
        self._down(self.rng.sample(members, len(members) // 2 + 1), duration_s + 6.0)

    def _loss(self, duration_s: float) -> None:
        previous, self.sim.links.loss = self.sim.links.loss, self.rng.choice([0.05, 0.2, 0.5])
        self._undo_later(duration_s, lambda: setattr(self.sim.links, "loss", 0.0 if previous else previous))

    def _repeats(self, duration_s: float) -> None:
        self.sim.links.repeat = 0.3
        self._undo_later(duration_s, lambda: setattr(self.sim.links, "repeat", 0.0))

    def _slow_links(self, duration_s: float) -> None:
        one = self.rng.choice(self.agents)
        slow = self.sim.links.slow
        for other in [*self.agents, YARD]:
            slow[one, other] = self.rng.choice([0.3, 1.0, 3.0])
        self._undo_later(duration_s, slow.clear)

    # --- disks ---
    def _empty_disk(self, duration_s: float) -> None:
        one = self.rng.choice(self.agents)
        if one in self.plan.members:
            if len(self.members_with_lost_disks) >= (len(self.plan.members) - 1) // 2:
                return
            self.members_with_lost_disks.add(one)
        self.sim.kill(one)
        self.sim.hosts[one].disk = {}
        self._start_later(one, duration_s)

    def _start_later(self, number: int, duration_s: float) -> None:
        def start() -> None:
            if self.sim.hosts[number].node is None:
                self.sim.start(number)

        self._undo_later(duration_s, start)

    def _old_disk(self, duration_s: float) -> None:
        """Copy the disk now, restart the agent, and replace its disk with the copy after some more work.

        A member's disk is replaced only while all agents run and the links are sound: the assumption about disks
        (docs/duties.md) is that an older copy does not come back while all members with newer state are away.
        """
        one = self.rng.choice(self.agents)
        if one in self.plan.members:
            if len(self.members_with_lost_disks) >= (len(self.plan.members) - 1) // 2:
                return
            self.members_with_lost_disks.add(one)
        copy = deepcopy(self.sim.hosts[one].disk)
        self._down([one], 0.2)

        def restore() -> None:
            disrupted = (
                self.sim.links.cuts
                or self.sim.links.loss
                or self.sim.links.slow
                or any(h.node is None or h.stalled or h.node.broken for h in self.sim.hosts.values())
            )
            if one in self.plan.members and disrupted:
                if not self.ended:
                    self.sim.schedule(self.sim.now + 1.0, restore)
                return
            self.sim.kill(one)
            self.sim.hosts[one].disk = copy
            self._start_later(one, 0.1)

        self.sim.schedule(self.sim.now + 4.0 + duration_s, restore)

    def _failing_disk(self, duration_s: float) -> None:
        one = self.rng.choice(self.agents)
        self.sim.hosts[one].failing = True

        def repair() -> None:
            self.sim.hosts[one].failing = False
            if (node := self.sim.hosts[one].node) is not None and node.broken:
                self.sim.kill(one)
                self.sim.start(one)

        self._undo_later(duration_s, repair)

    def _slow_disk(self, duration_s: float) -> None:
        previous, self.sim.disk_s = self.sim.disk_s, 0.2
        self._undo_later(duration_s, lambda: setattr(self.sim, "disk_s", min(previous, 0.003)))

    # --- yard ---
    def _yard_loss(self, duration_s: float) -> None:
        self.sim.yard_loss = 0.5
        self._undo_later(duration_s, lambda: setattr(self.sim, "yard_loss", 0.0))

    def _yard_late(self, duration_s: float) -> None:
        self.sim.yard_late = self.rng.choice([1.0, 6.0])
        self._undo_later(duration_s, lambda: setattr(self.sim, "yard_late", 0.0))

    def _yard_half(self, duration_s: float) -> None:
        self.sim.yard.half = 0.8
        self._undo_later(duration_s, lambda: setattr(self.sim.yard, "half", 0.0))

    def _yard_cut(self, duration_s: float) -> None:
        one = self.rng.choice(self.agents)
        pairs = [(one, YARD), (YARD, one)]
        self._cut(pairs[: self.rng.randint(1, 2)], duration_s)

    # --- owners that renew leases but do no work; rolling restarts; mass kills ---
    def _gray(self, one: int, duration_s: float) -> None:
        self._cut([(one, YARD), (YARD, one)], duration_s + 4 * OWES_S)

    def _gray_owner(self, duration_s: float) -> None:
        self._gray(self.rng.choice(self._agents_where(lambda n: bool(n.reconciler))), duration_s)
        self.sim.yard.end(self.rng.choice(self.plan.site_names()), "a", 2)

    def _gray_agent(self, duration_s: float) -> None:
        self._gray(self.rng.choice(self.agents), duration_s)

    def _roll(self, duration_s: float) -> None:
        """Restart all agents by SIGTERM, one after the other: each hands over, ends, and is started again."""

        def terminate(number: int) -> None:
            if self.sim.hosts[number].node is not None and not self.sim.hosts[number].stalled:
                self.sim.terminate(number)
                self.sim.schedule(self.sim.now + 1.0, lambda: self._down([number], 1.0))

        for i, number in enumerate(self.agents):
            self.sim.schedule(self.sim.now + 0.7 * i, lambda n=number: None if self.ended else terminate(n))  # type: ignore[misc]

    def _leader_ends(self, duration_s: float) -> None:
        one = self._agents_where(lambda n: n.member and n.member.role.value == "leader")[0]
        self.sim.terminate(one)
        self.sim.schedule(self.sim.now + 1.0, lambda: None if self.ended else self._down([one], duration_s))

    def _leaders_slow_disk(self, duration_s: float) -> None:
        host = self.sim.hosts[self._agents_where(lambda n: n.member and n.member.role.value == "leader")[0]]
        host.slow_s = self.rng.choice([0.3, 0.5, 1.5])
        self._undo_later(duration_s + 5.0, lambda: setattr(host, "slow_s", 0.0))

    def _kill_most(self, duration_s: float) -> None:
        self._down(self.rng.sample(self.agents, max(7 * len(self.agents) // 10, 1)), duration_s)

    def _servers_end(self, duration_s: float) -> None:
        kind = self.rng.choice(["a", "b", "c"])
        self.sim.yard.end(self.rng.choice(self.plan.site_names()), kind, self.rng.randint(1, 3))


def play(
    seed: int,
    alter: Callable[[Sim], None] = lambda sim: None,
    faults: int = 0,
    only: tuple[str, ...] = FAULTS,
    owes: float = 0.0,
) -> Day:
    """Play one drawn day. `alter` may remove a guard first; with `owes` above zero the fleet has posts."""
    rng = random.Random(seed)
    plan = draw_plan(rng)
    sim = Sim(replace(plan, intervals=replace(plan.intervals, owes=owes)), seed)
    alter(sim)
    day = Day(seed)
    injector = FaultInjector(sim, rng)
    for number in injector.agents:
        sim.schedule(rng.random(), lambda n=number: sim.start(n))  # type: ignore[misc]
    sim.run(rng.uniform(5.0, 12.0))
    for _ in range(faults or rng.randint(3, 9)):
        name = rng.choice(only)
        day.faults.append(name)
        injector.inject(name)
        if rng.random() < 0.5:
            sim.yard.end(rng.choice(sim.plan.site_names()), rng.choice(["a", "b", "c"]), 1)
        sim.run(sim.now + rng.choice([0.05, 0.5, 2.0, 6.0, 12.0]))
    sim.run(sim.now + rng.uniform(0.0, 6.0))
    injector.end_all()
    ended_at = sim.now
    with contextlib.suppress(EventLimitError):
        day.rested = sim.run(sim.now + SETTLE_TIMEOUT_S, sim.is_settled)
        day.rest_s = sim.now - ended_at
        sim.run(sim.now + 3.0)
    if (leader := sim.leader()) is not None:
        sim.judge.check_end(sim.yard, leader.duties)
        day.acts, day.grants = leader.duties.group_state.acts, leader.duties.group_state.tokens
    # not in the summary: only the simulator sees when a read is sent
    day.counts = {**sim.judge.summary(), "stale_reads": sim.judge.counts["stale_reads"]}
    day.notes = sim.judge.notes
    day.coordinators = len(sim.judge.leads)
    summary = repr((sorted(sim.messages.items()), sim.yard.tape, day.counts, round(sim.now, 9), day.grants))
    day.digest = blake3(summary.encode()).hexdigest()[:16]
    return day
