"""The host of an agent process in a cluster day, with access to its disk."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

from otterquay.lab.hosts import AgentProcess


@dataclass(eq=False)
class ClusterHost(AgentProcess):
    """An agent process whose disk can be removed, copied and replaced while it is down."""

    @property
    def disk(self) -> Path:
        """The folder of the agent's store."""
        return self.logs / f"agent-{self.place.number}.store"

    def copy_disk(self) -> Path:
        """Copy the store; returns the folder of the copy."""
        to = self.logs / f"agent-{self.place.number}.copy"
        shutil.rmtree(to, ignore_errors=True)
        shutil.copytree(self.disk, to)
        return to

    @property
    def pid(self) -> int | None:
        """The id of the running process, if any."""
        return self.process.pid if self.process and self.process.returncode is None else None

    def send_kill(self) -> None:
        """Send SIGKILL without waiting for the exit, so that several processes can be killed at once."""
        if self.process and self.process.returncode is None:
            self.process.kill()
