"""Somebody with the key who tells what cannot be."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from otterquay.duties import messages as dm
from otterquay.fleet import codec
from otterquay.fleet.transport import Transport, group_id
from otterquay.lab.cluster.day import Trouble
from otterquay.lab.cluster.settings import NAME
from otterquay.logs import silent
from otterquay.runtimes import rows as rw

if TYPE_CHECKING:
    from otterquay.lab.cluster.world import ClusterWorld


async def nonsense(world: ClusterWorld, one: Trouble, number: int) -> None:
    """Speaks as an agent, to all, of run times that cannot be."""
    others = {a: at for a, at in world.numbers.items() if a != number}
    liar = Transport(
        number,
        "127.0.0.1:0",
        others,
        group_id(NAME),
        world.key,
        random.Random(world.seed),
        lambda *_: None,
        silent(),
    )
    world.liars.append(liar)
    until = world.now() + one.lasts / 1e3
    version = 1
    while world.now() < until:
        rows = [
            (rw.Key(number, 2**40, 0, str(cls), "0", server, 1), rw.Row(version, {95: 2**32 - 1}))
            for cls in range(3)
            for server in range(20)
        ]
        for other in world.sites:
            liar.send(other, codec.encode(dm.Rows(rw.encode(rows))))
        version += 1
        await asyncio.sleep(0.2)
