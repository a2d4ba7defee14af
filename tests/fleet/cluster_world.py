"""A cluster world with fake agent hosts, to test how it starts and stops agents."""

from __future__ import annotations

import asyncio
from pathlib import Path

from otterquay.config.load import load_service
from otterquay.lab.cluster.day import load_cluster_day
from otterquay.lab.cluster.world import ClusterWorld, day_of
from otterquay.lab.hosts import AgentHost

EXAMPLES = Path(__file__).parents[2] / "examples" / "cluster"


class SlowHost:
    """A fake host whose start blocks until the event `may_start` is set."""

    def __init__(self) -> None:
        self.starts = 0
        self.start_called, self.may_start = asyncio.Event(), asyncio.Event()

    async def start(self) -> str:
        self.starts += 1
        self.start_called.set()
        await self.may_start.wait()
        return "somewhere"

    async def kill(self) -> None: ...

    async def stop(self) -> None: ...

    def pause(self, on: bool) -> None: ...


def make_world(hosts: list[AgentHost]) -> ClusterWorld:
    """A world for the first example day, not started, with the given hosts."""
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
