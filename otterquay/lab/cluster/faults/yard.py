"""Troubles of the yard: lost or late answers, partly executed orders, and servers that end."""

from __future__ import annotations

from collections.abc import Callable

from otterquay.lab.cluster.day import Trouble
from otterquay.lab.cluster.faults.target import FaultTarget


def unreliable(world: FaultTarget, trouble: Trouble, _: int) -> Callable[[], None]:
    """Lose and delay answers, and execute orders only in part."""
    yard = world.yard
    yard.lose, yard.late_s, yard.ledger.half = trouble.loss, trouble.late / 1e3, trouble.half

    def undo() -> None:
        yard.lose = yard.late_s = yard.ledger.half = 0.0

    return undo


def late(world: FaultTarget, trouble: Trouble, number: int) -> Callable[[], None]:
    """Delay an agent's traffic with the yard, so that a request sent under a valid lease arrives after its loss."""
    state = world.yard_link_states[number]
    state.delay_s = trouble.late / 1e3
    return lambda: setattr(state, "delay_s", 0.0)


def gray(world: FaultTarget, trouble: Trouble, number: int) -> Callable[[], None]:
    """Cut an agent off from the yard only: it goes on renewing its leases, while its requests to the yard hang."""
    state = world.yard_link_states[number]
    state.cut = True
    return lambda: setattr(state, "cut", False)


def servers_end(world: FaultTarget, trouble: Trouble, _: int) -> None:
    """End `count` servers of each kind that a site wants."""
    for kind in world.cluster.site[trouble.site].want:
        world.yard.ledger.end(trouble.site, kind, trouble.count)
