"""Plays days on simulated time, with each agent on a simulated machine of its own in this process."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import xxhash

from otterquay.config.schema import Service
from otterquay.lab.day import Day
from otterquay.lab.hosts import AgentHost, AgentPlacement, InProcessAgent
from otterquay.lab.play import Result, play
from otterquay.lab.simloop import Machine, SimLoop, simulate
from otterquay.standins.tape import Tape

TOLERANCE_S = 0.005  # network delays; the observer sees everything else immediately


class SimAgent(InProcessAgent):
    """An agent on a simulated machine, which can be paused and killed like a process."""

    __slots__ = ("machine",)

    def _sim_loop(self) -> SimLoop:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SimLoop)
        return loop

    async def start(self) -> str:
        """Start on a new machine, with the disk as the previous incarnation left it."""
        self.machine = Machine(f"agent-{self.place.number}", self.place.zone)
        return await self._sim_loop().run_on(self.machine, InProcessAgent.start(self))

    async def kill(self) -> None:
        """Kill the machine; unsynced writes are lost, as in a power failure."""
        self._sim_loop().kill(self.machine)
        self.disk = self.disk.after_power_loss(random.Random(self.place.seed * 1000 + self.starts))
        self.runtime = None

    async def stop(self) -> None:
        """Stop gracefully."""
        if self.runtime:
            runtime, self.runtime = self.runtime, None
            await self._sim_loop().run_on(self.machine, runtime.stop())

    def pause(self, on: bool) -> None:
        """Pause or resume the machine."""
        self._sim_loop().pause(self.machine, on)


def simulated(
    service: Service, seed: int, agent: type[SimAgent] = SimAgent, **overrides: Any
) -> Callable[[AgentPlacement], AgentHost]:
    """A factory of agents on simulated machines."""
    key = random.Random(seed).randbytes(32)
    return lambda place: agent(service, place, key, **overrides)


def digest(tape: Tape) -> str:
    """A hash of the whole tape, the same for every run of a seed."""
    return xxhash.xxh3_128_hexdigest(tape.dump())


@dataclass(slots=True)
class Simulated:
    """The result of a simulated day."""

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
    make_host: Callable[[AgentPlacement], AgentHost] | None = None,
    log: Callable[[str], None] = lambda text: None,
) -> Simulated:
    """Play a day; the same seed gives the same digest. Raises as `simloop.simulate`."""
    work = play(day, service, seed, make_host or simulated(service, seed), log, TOLERANCE_S)
    result, loop = simulate(work, seed)
    return Simulated(result, digest(result.tape), loop.now - loop.started_at, loop.turns, loop.program_errors)
