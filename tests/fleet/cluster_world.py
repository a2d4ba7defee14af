"""A cluster world whose agents are not processes, for its own ways with them."""

from __future__ import annotations

import asyncio
from pathlib import Path

from otterquay.config.load import load_service
from otterquay.lab.cluster.day import load_cluster_day
from otterquay.lab.cluster.world import ClusterWorld, day_of
from otterquay.lab.hosts import AgentHost

EXAMPLES = Path(__file__).parents[2] / "examples" / "cluster"


class Slow:
    """A host whose start takes until it is let go."""

    def __init__(self) -> None:
        self.starts = 0
        self.asked, self.go = asyncio.Event(), asyncio.Event()

    async def start(self) -> str:
        self.starts += 1
        self.asked.set()
        await self.go.wait()
        return "somewhere"

    async def kill(self) -> None: ...

    async def stop(self) -> None: ...

    def pause(self, on: bool) -> None: ...


def a_world(hosts: list[AgentHost]) -> ClusterWorld:
    """The first example's day, not begun, with these hosts."""
    cluster = load_cluster_day(min(EXAMPLES.glob("[01]*.hcl")))
    base = EXAMPLES / "agent.hcl"
    world = ClusterWorld(
        day_of(cluster),
        load_service(base),
        1,
        lambda place: hosts[place.number],
        cluster=cluster,
        folder=EXAMPLES,
        base=base,
    )
    world.agents.extend(hosts)
    return world
