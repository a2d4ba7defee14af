"""Settings of the work that agents coordinate: the blocks `group`, `capacity` and `machine`.

Times are in milliseconds once parsed.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from otterquay.config.blocks import LABELLED, Block
from otterquay.config.units import Address, Count, Duration, Positive, Share


class GroupAgent(Block):
    """One agent of the group: the address at which the others reach it, and its site."""

    address: Address
    zone: str


class Group(Block):
    """The agents that share work, the voting members among them, and the timing of the group's protocol.

    `name` distinguishes the messages of this group from those of others. `listen` is the address that this agent
    binds, where it differs from the one that the other agents use.

    `beat`: time between two heartbeats. `lost`: a site that has not heard the group for this long elects a
    coordinator; `back`: the coordinator stops once the group has been heard again for this long. `settle`: how long
    an unheard site or an open journal delays the grant of a site's duty.
    """

    name: str = Field(min_length=1, max_length=64)
    members: list[Count]
    key_file: str
    listen: Address | None = None
    agent: Annotated[dict[str, GroupAgent], LABELLED] = Field(min_length=1)
    beat: Duration = 100.0
    election: Duration = 1000.0
    lease: Duration = 4000.0
    drift: Share = 0.02
    lost: Duration = 4000.0
    back: Duration = 1000.0
    settle: Duration = 20000.0

    @model_validator(mode="after")
    def _check_consistency(self) -> Group:
        if len(self.members) not in (1, 3, 5) or len(set(self.members)) != len(self.members):
            raise ValueError(
                f"members: {self.members}: name three or five different agents (one alone for "
                "trials): an even number bears no more failures than the odd number below it"
            )
        missing = [str(member) for member in self.members if str(member) not in self.agent]
        if missing:
            raise ValueError(f"members: no block agent for {', '.join(missing)}")
        for name in self.agent:
            if not (name.isascii() and name.isdigit() and int(name) < 0xFFFF):
                raise ValueError(f'agent "{name}": the name must be the number of the agent, 0 to 65534')
        if not 0 < self.beat * 3 <= self.election:
            raise ValueError("election must be at least three times beat, or one lost heartbeat starts an election")
        if not self.election * 2 < self.lost:
            raise ValueError("lost must be over twice election, or an election counts as the loss of the group")
        if self.lease < self.election or self.drift >= 0.5:
            raise ValueError("lease must be at least election, and drift must be under 50%")
        return self

    def check_agent(self, zones: list[str], number: int, zone: str, store: str) -> None:
        """Raise ValueError unless the group is consistent with the agent that reads the settings."""
        for name, agent in self.agent.items():
            if agent.zone not in zones:
                raise ValueError(f"group.agent.{name}.zone: {agent.zone!r} is none of zones {zones}")
        own_entry = self.agent.get(str(number))
        if own_entry is None:
            raise ValueError(f"group: no block agent for this agent, number {number}")
        if own_entry.zone != zone:
            raise ValueError(f"group.agent.{number}.zone: {own_entry.zone!r}, but agent.zone is {zone!r}")
        if not store:
            raise ValueError(
                "group: agent.store is needed: the folder where this agent records what it has promised to others"
            )


class CapacitySite(Block):
    """What one site needs.

    `want`: the least number of servers by kind. `size`: the kind whose number follows the demand.
    """

    want: dict[str, Positive] = {}
    size: str | None = None


class Capacity(Block):
    """The yard, the bound on running servers in all sites, and the servers that an isolated site may order.

    `look`: time between two readings of the yard's list. `retire`: a server that has been surplus for this long is
    retired; 0: never. `owes`: the owner of a duty that has made no progress for this long, as the other agents see
    it, is relieved; 0: never.
    """

    yard: str = Field(pattern=r"^http://[^/]+:\d+(/.*)?$")
    bound: Positive
    allowance: Count = 2
    look: Duration = 1000.0
    retire: Duration = 0.0
    owes: Duration = 0.0
    site: Annotated[dict[str, CapacitySite], LABELLED] = {}

    def check_zones(self, zones: list[str]) -> None:
        """Raise ValueError for unknown sites, times that are too short, or demands over the bound."""
        for name in self.site:
            if name not in zones:
                raise ValueError(f"capacity.site.{name}: is none of zones {zones}")
        if 0 < self.retire < 10 * self.look:
            raise ValueError(
                "capacity.retire: must be at least ten times look, or a brief lull retires servers; 0: never"
            )
        if 0 < self.owes < 4 * self.look:
            raise ValueError(
                "capacity.owes: must be at least four times look, or a single lost look relieves an owner; 0: never"
            )
        total_wanted = sum(sum(site_needs.want.values()) for site_needs in self.site.values())
        if total_wanted + self.allowance * len(zones) > self.bound:
            raise ValueError(
                f"capacity: {total_wanted} servers wanted and allowances of {self.allowance} for "
                f"{len(zones)} sites exceed the bound of {self.bound}: raise bound or lower allowance"
            )


class Machine(Block):
    """Known properties of one kind of server, all optional; the label is the kind's number in the fleet list."""

    family: str = ""
    cores: float | None = Field(default=None, gt=0)
    clock_ghz: float | None = Field(default=None, gt=0)
    memory_gib: float | None = Field(default=None, gt=0)
