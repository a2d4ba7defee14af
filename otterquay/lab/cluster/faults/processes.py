"""Troubles of processes: suspension, kills and restarts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial

from otterquay.lab.cluster.day import Trouble
from otterquay.lab.cluster.faults.target import FaultTarget
from otterquay.standins.tape import AgentDown


def stop(world: FaultTarget, _: Trouble, number: int) -> Callable[[], None]:
    """Suspend an agent by SIGSTOP; the undo function resumes it by SIGCONT."""
    if number in world.running and number not in world.suspended_since:
        world.agents[number].pause(True)
        world.suspended_since[number] = world.now()
    return partial(world.resume_agent, number)


async def down(world: FaultTarget, numbers: list[int]) -> list[int]:
    """Kill agents at one moment by SIGKILL; returns those that were running."""
    were_running = [n for n in numbers if world.running.pop(n, None) is not None]
    for number in were_running:
        world.resume_agent(number)
        world.host(number).send_kill()
    for number in were_running:
        await world.host(number).kill()
        world.tape.add(AgentDown(world.now(), number, "killed"))
    return were_running


async def up(world: FaultTarget, numbers: list[int], after_s: float) -> None:
    """Start agents after a delay."""
    await asyncio.sleep(after_s)
    await asyncio.gather(*(world.restart_agent(n) for n in numbers))


async def kill(world: FaultTarget, trouble: Trouble, number: int) -> None:
    """Kill one agent and start it again."""
    await up(world, await down(world, [number]), trouble.lasts / 1e3)


async def kill_all(world: FaultTarget, trouble: Trouble, _: int) -> None:
    """Kill all agents and start them again."""
    await up(world, await down(world, list(world.sites)), trouble.lasts / 1e3)


async def lose_majority(world: FaultTarget, trouble: Trouble, _: int) -> None:
    """Kill a majority of the members and start them again."""
    chosen = world.members[: len(world.members) // 2 + 1]
    await up(world, await down(world, chosen), trouble.lasts / 1e3)


async def kill_most(world: FaultTarget, trouble: Trouble, _: int) -> None:
    """Kill seven in ten agents at one moment and start them again."""
    chosen = random.Random(world.seed + 5).sample(sorted(world.sites), 7 * len(world.sites) // 10)
    await up(world, await down(world, chosen), trouble.lasts / 1e3)


async def roll(world: FaultTarget, trouble: Trouble, _: int) -> None:
    """Restart all agents by SIGTERM, at least one and otherwise a tenth at a time, each with a handover."""
    numbers = sorted(world.sites)
    step = max(len(numbers) // 10, 1)
    for i in range(0, len(numbers), step):
        ended = [n for n in numbers[i : i + step] if world.running.pop(n, None) is not None]
        await asyncio.gather(*(world.host(n).stop() for n in ended))
        for number in ended:
            world.tape.add(AgentDown(world.now(), number, "stopped"))
        await up(world, ended, trouble.after / 1e3)
