"""Troubles of disks: emptied, replaced by an older copy, or full."""

from __future__ import annotations

import asyncio
import resource
import shutil

from otterquay.lab.cluster.day import Trouble
from otterquay.lab.cluster.faults.processes import down, up
from otterquay.lab.cluster.faults.target import FaultTarget


async def empty(world: FaultTarget, trouble: Trouble, number: int) -> None:
    """Kill an agent and start it again with an empty disk."""
    gone = await down(world, [number])
    shutil.rmtree(world.host(number).disk, ignore_errors=True)
    await up(world, gone, trouble.lasts / 1e3)


async def old(world: FaultTarget, trouble: Trouble, number: int) -> None:
    """Copy an agent's disk while it is down, let it run for `lasts`, then replace its disk with the copy."""
    host = world.host(number)
    gone = await down(world, [number])
    copy = host.copy_disk()
    await up(world, gone, 0.1)
    await asyncio.sleep(trouble.lasts / 1e3)
    gone = await down(world, [number])
    shutil.rmtree(host.disk, ignore_errors=True)
    shutil.copytree(copy, host.disk)
    await up(world, gone, 0.1)


async def full(world: FaultTarget, trouble: Trouble, number: int) -> None:
    """Make writes fail: limit the file size of the running process (RLIMIT_FSIZE, by prlimit)."""
    if pid := world.host(number).pid:
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (4096, 4096))
    await asyncio.sleep(trouble.lasts / 1e3)
    await up(world, await down(world, [number]), 0.1)
