"""An agent's process in the cluster, and its disk."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

from otterquay.lab.hosts import AgentProcess


@dataclass(eq=False)
class Clustered(AgentProcess):
    """An agent of the cluster; its disk may be taken away, copied and put back while it is down."""

    @property
    def disk(self) -> Path:
        """Its folder."""
        return self.logs / f"agent-{self.place.number}.store"

    def copy(self) -> Path:
        """A copy of the disk as it is now."""
        to = self.logs / f"agent-{self.place.number}.copy"
        shutil.rmtree(to, ignore_errors=True)
        shutil.copytree(self.disk, to)
        return to

    @property
    def pid(self) -> int | None:
        """Of the process, if it runs."""
        return self.process.pid if self.process and self.process.returncode is None else None

    def strike(self) -> None:
        """SIGKILL without waiting for its end, so that several die at one moment."""
        if self.process and self.process.returncode is None:
            self.process.kill()
