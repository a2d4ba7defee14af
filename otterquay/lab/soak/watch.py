"""Samples what the agents' processes hold, and how long the soak's own loop was held up."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from otterquay.lab.soak.process import AgentProcess

SAMPLE_INTERVAL_S = 0.1
TICK_S = 0.005
ESTABLISHED = "01"  # in /proc/net/tcp


class Watch:
    """Runs until `stop`; the figures go into the records of the processes' runs."""

    def __init__(self, agents: list[AgentProcess]) -> None:
        self.longest_stall_s = 0.0
        self._agents = agents
        self._tasks = [asyncio.ensure_future(self._sample()), asyncio.ensure_future(self._tick())]

    def stop(self) -> None:
        """Take no more samples."""
        for task in self._tasks:
            task.cancel()

    async def _tick(self) -> None:
        now = asyncio.get_running_loop().time
        while True:
            before = now()
            await asyncio.sleep(TICK_S)
            self.longest_stall_s = max(self.longest_stall_s, now() - before - TICK_S)

    async def _sample(self) -> None:
        while True:
            sockets = _established()
            for agent in self._agents:
                if agent.runs and agent.run.ready_at is not None and agent.pid is not None:
                    _sample_process(agent, sockets)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def count_descriptors(agent: AgentProcess) -> int:
    """The descriptors that an agent's process holds; 0 if it does not run."""
    try:
        return len(os.listdir(f"/proc/{agent.pid}/fd"))
    except OSError:
        return 0


def _sample_process(agent: AgentProcess, sockets: dict[str, int]) -> None:
    process, run = Path(f"/proc/{agent.pid}"), agent.run
    try:
        links = [os.readlink(entry) for entry in (process / "fd").iterdir()]
        status = (process / "status").read_text()
    except OSError:
        return  # it has ended meanwhile
    held = [sockets.get(link.removeprefix("socket:[").removesuffix("]")) for link in links]
    run.most_descriptors = max(run.most_descriptors, len(links))
    run.most_clients = max(run.most_clients, held.count(agent.port))
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            run.memory_kb.append(int(line.split()[1]))


def _established() -> dict[str, int]:
    """The local port of each established TCP connection, by the inode of its socket."""
    found: dict[str, int] = {}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] == ESTABLISHED:
            found[fields[9]] = int(fields[1].rpartition(":")[2], 16)
    return found
