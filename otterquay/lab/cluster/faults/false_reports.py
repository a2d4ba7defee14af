"""Trouble by a sender that has the group's key and reports impossible run times."""

from __future__ import annotations

import asyncio
import random

from otterquay.duties import messages as dm
from otterquay.fleet import codec
from otterquay.fleet.transport import Transport, group_id
from otterquay.lab.cluster.day import Trouble
from otterquay.lab.cluster.faults.target import FaultTarget
from otterquay.lab.cluster.settings import GROUP_NAME
from otterquay.logs import silent
from otterquay.runtimes import rows as rw


async def nonsense(world: FaultTarget, trouble: Trouble, number: int) -> None:
    """Send all agents impossible run times under the number of one agent."""
    others = {a: address for a, address in world.addresses.items() if a != number}
    reporter = Transport(
        number,
        "127.0.0.1:0",
        others,
        group_id(GROUP_NAME),
        world.key,
        random.Random(world.seed),
        lambda *_: None,
        silent(),
    )
    world.false_reporters.append(reporter)
    until = world.now() + trouble.lasts / 1e3
    version = 1
    while world.now() < until:
        rows = [
            (rw.Key(number, 2**40, 0, str(cls), "0", server, 1), rw.Row(version, {95: 2**32 - 1}))
            for cls in range(3)
            for server in range(20)
        ]
        for other in world.sites:
            reporter.send(other, codec.encode(dm.Rows(rw.encode(rows))))
        version += 1
        await asyncio.sleep(0.2)
