"""Cuts, one-way cuts, flapping and lossy links."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from otterquay.lab.cluster.day import Trouble
from otterquay.lab.fleetsim.world import both_directions

if TYPE_CHECKING:
    from otterquay.lab.cluster.world import ClusterWorld

Undo = Callable[[], None]


def cut(world: ClusterWorld, directions: list[tuple[int, int]]) -> Undo:
    """Cut these directions; cuts of one link add up."""
    for pair in directions:
        world.wires[pair].cuts += 1

    def heal() -> None:
        for pair in directions:
            world.wires[pair].cuts -= 1

    return heal


def inside(world: ClusterWorld, site: str) -> tuple[list[int], list[int]]:
    """The agents of a site, and all others."""
    here = [a for a, s in world.sites.items() if s == site]
    return here, [a for a in world.sites if a not in here]


def cut_site(world: ClusterWorld, one: Trouble, _: int) -> Undo:
    """A site from all others."""
    return cut(world, both_directions(*inside(world, one.site)))


def split_site(world: ClusterWorld, one: Trouble, _: int) -> Undo:
    """A site in two halves."""
    here, _ignored = inside(world, one.site)
    half = len(here) // 2
    return cut(world, both_directions(here[:half], here[half:]))


def cut_agent(world: ClusterWorld, _: Trouble, number: int) -> Undo:
    """One agent from all others."""
    return cut(world, both_directions([number], [a for a in world.sites if a != number]))


def one_way(world: ClusterWorld, one: Trouble, number: int) -> Undo:
    """What one agent says, or hears (`inward`)."""
    others = [a for a in world.sites if a != number]
    return cut(world, [(o, number) if one.inward else (number, o) for o in others])


async def flap(world: ClusterWorld, one: Trouble, _: int) -> None:
    """A site cut off again and again."""
    rng = random.Random(world.seed + 3)
    for _i in range(one.times):
        undo = cut(world, both_directions(*inside(world, one.site)))
        try:
            await asyncio.sleep(rng.uniform(0.3, 1.0) * one.lasts / 1e3)
        finally:
            undo()
        await asyncio.sleep(rng.uniform(0.2, 1.0))


def lossy(world: ClusterWorld, one: Trouble, _: int) -> Undo:
    """All links lose, repeat and delay."""
    for wire in world.wires.values():
        wire.loss, wire.repeat, wire.late_s = one.loss, one.repeat, one.late / 1e3

    def undo() -> None:
        for wire in world.wires.values():
            wire.loss = wire.repeat = wire.late_s = 0.0

    return undo
