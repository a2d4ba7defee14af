"""Troubles of links: cuts in one or both directions, flapping, loss, repeats and delays."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from otterquay.lab.cluster.day import Trouble
from otterquay.lab.cluster.faults.target import FaultTarget
from otterquay.lab.fleetsim.world import both_directions

Undo = Callable[[], None]


def cut(world: FaultTarget, directions: list[tuple[int, int]]) -> Undo:
    """Cut these directions; overlapping cuts of one direction are counted."""
    for pair in directions:
        world.link_faults[pair].cuts += 1

    def undo() -> None:
        for pair in directions:
            world.link_faults[pair].cuts -= 1

    return undo


def split_agents(world: FaultTarget, site: str) -> tuple[list[int], list[int]]:
    """The agents of a site, and all other agents."""
    inside = [a for a, s in world.sites.items() if s == site]
    return inside, [a for a in world.sites if a not in inside]


def cut_site(world: FaultTarget, trouble: Trouble, _: int) -> Undo:
    """Cut a site off from all others."""
    return cut(world, both_directions(*split_agents(world, trouble.site)))


def split_site(world: FaultTarget, trouble: Trouble, _: int) -> Undo:
    """Cut the links between two halves of a site."""
    inside, _ignored = split_agents(world, trouble.site)
    half = len(inside) // 2
    return cut(world, both_directions(inside[:half], inside[half:]))


def cut_agent(world: FaultTarget, _: Trouble, number: int) -> Undo:
    """Cut one agent off from all others."""
    return cut(world, both_directions([number], [a for a in world.sites if a != number]))


def one_way(world: FaultTarget, trouble: Trouble, number: int) -> Undo:
    """Cut what one agent sends, or with `inward` what it receives."""
    others = [a for a in world.sites if a != number]
    return cut(world, [(o, number) if trouble.inward else (number, o) for o in others])


async def flap(world: FaultTarget, trouble: Trouble, _: int) -> None:
    """Cut a site off repeatedly, for random times."""
    rng = random.Random(world.seed + 3)
    for _i in range(trouble.times):
        undo = cut(world, both_directions(*split_agents(world, trouble.site)))
        try:
            await asyncio.sleep(rng.uniform(0.3, 1.0) * trouble.lasts / 1e3)
        finally:
            undo()
        await asyncio.sleep(rng.uniform(0.2, 1.0))


def lossy(world: FaultTarget, trouble: Trouble, _: int) -> Undo:
    """Make all links lose, repeat and delay messages."""
    for faults in world.link_faults.values():
        faults.loss, faults.repeat, faults.late_s = trouble.loss, trouble.repeat, trouble.late / 1e3

    def undo() -> None:
        for faults in world.link_faults.values():
            faults.loss = faults.repeat = faults.late_s = 0.0

    return undo
