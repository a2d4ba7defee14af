"""A yard that loses, does half, is late; servers that end."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from otterquay.lab.cluster.day import Trouble

if TYPE_CHECKING:
    from otterquay.lab.cluster.world import ClusterWorld


def unsure(world: ClusterWorld, one: Trouble, _: int) -> Callable[[], None]:
    """Answers lost and late, orders done by half."""
    yard = world.yard
    yard.lose, yard.late_s, yard.book.half = one.loss, one.late / 1e3, one.half

    def undo() -> None:
        yard.lose = yard.late_s = yard.book.half = 0.0

    return undo


def late(world: ClusterWorld, one: Trouble, number: int) -> Callable[[], None]:
    """What an agent asks of the yard is on the way for so long: it was sent before, and arrives after."""
    state = world.yards[number]
    state.delay_s = one.late / 1e3
    return lambda: setattr(state, "delay_s", 0.0)


def gray(world: ClusterWorld, one: Trouble, number: int) -> Callable[[], None]:
    """An agent is there and renews what it owns, and the yard hears nothing of it: what it asks hangs."""
    state = world.yards[number]
    state.cut = True
    return lambda: setattr(state, "cut", False)


def servers_end(world: ClusterWorld, one: Trouble, _: int) -> None:
    """So many of each kind that a site wants."""
    for kind in world.cluster.site[one.site].want:
        world.yard.book.end(one.site, kind, one.count)
