"""What the troubles of a cluster day act on."""

from __future__ import annotations

from typing import Protocol

from otterquay.fleet.transport import Transport
from otterquay.lab.cluster.day import ClusterDay
from otterquay.lab.cluster.host import ClusterHost
from otterquay.lab.cluster.relay import LinkFaults
from otterquay.lab.hosts import AgentHost
from otterquay.standins.links import LinkState
from otterquay.standins.tape import Tape
from otterquay.standins.yard import Yard


class FaultTarget(Protocol):
    """The running cluster day; agents go by their number. Times are seconds on the event loop's clock."""

    seed: int
    key: bytes
    cluster: ClusterDay
    sites: dict[int, str]
    members: list[int]
    addresses: dict[int, str]
    agents: list[AgentHost]  # by number
    running: dict[int, str]  # address of each running agent
    suspended_since: dict[int, float]
    link_faults: dict[tuple[int, int], LinkFaults]
    yard: Yard
    yard_link_states: dict[int, LinkState]
    false_reporters: list[Transport]
    tape: Tape

    def now(self) -> float:
        """The current time."""

    def host(self, number: int) -> ClusterHost:
        """The host of an agent's process."""

    def resume_agent(self, number: int) -> None:
        """Send SIGCONT to an agent if it is suspended."""

    async def restart_agent(self, number: int) -> None:
        """Start an agent that is down; concurrent callers wait for the same start."""
