"""Days on simulated time: all agents of a day in this process, each on a machine of its own."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import xxhash

from otterquay.config.schema import Service
from otterquay.lab.day import Day
from otterquay.lab.hosts import AgentHost, AgentPlacement, Inside
from otterquay.lab.play import Result, play
from otterquay.lab.simloop import Machine, SimLoop, simulate
from otterquay.standins.tape import Tape

TOLERANCE_S = 0.005  # the network's delays; the observer sees all else as it happens


class SimAgent(Inside):
    """An agent on a machine of its own, which can be paused and killed as a process can."""

    __slots__ = ("machine",)

    def _loop(self) -> SimLoop:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SimLoop)
        return loop

    async def start(self) -> str:
        """Start; the machine is a new one, the disk what the last left."""
        self.machine = Machine(f"agent-{self.place.number}", self.place.zone)
        return await self._loop().run_on(self.machine, Inside.start(self))

    async def kill(self) -> None:
        """The process ends; what it had not synced is lost, as if the power failed."""
        self._loop().kill(self.machine)
        self.disk = self.disk.crashed(random.Random(self.place.seed * 1000 + self.starts))
        self.runtime = None

    async def stop(self) -> None:
        """End in good order."""
        if self.runtime:
            runtime, self.runtime = self.runtime, None
            await self._loop().run_on(self.machine, runtime.stop())

    def pause(self, on: bool) -> None:
        """Stand still, or go on."""
        self._loop().pause(self.machine, on)


def simulated(
    service: Service, seed: int, agent: type[SimAgent] = SimAgent, **changes: Any
) -> Callable[[AgentPlacement], AgentHost]:
    """Agents on machines of the simulated loop."""
    key = random.Random(seed).randbytes(32)
    return lambda place: agent(service, place, key, **changes)


def digest(tape: Tape) -> str:
    """The whole trace in one number: the same for every run of a seed."""
    return xxhash.xxh3_128_hexdigest(tape.dump())


@dataclass(slots=True)
class Simulated:
    """A day that was simulated."""

    result: Result
    digest: str
    sim_s: float
    turns: int
    program_errors: list[str]

    def summary(self) -> dict[str, Any]:
        """The object that `--json` prints."""
        return {
            **self.result.summary(),
            "digest": self.digest,
            "sim_s": round(self.sim_s, 3),
            "turns": self.turns,
            "errors": self.program_errors[:20],
        }


def play_simulated(
    day: Day,
    service: Service,
    seed: int,
    hosts: Callable[[AgentPlacement], AgentHost] | None = None,
    say: Callable[[str], None] = lambda text: None,
) -> Simulated:
    """Play a day; the same seed gives the same digest. Stuck, Outside: see `simloop.simulate`."""
    work = play(day, service, seed, hosts or simulated(service, seed), say, TOLERANCE_S)
    result, loop = simulate(work, seed)
    return Simulated(result, digest(result.tape), loop.now - loop.begin, loop.turns, loop.program_errors)
