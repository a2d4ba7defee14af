"""Blocks of the fleet's own work: `group`, `capacity`, `machine`. Times are milliseconds once read."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from otterquay.config.blocks import LABELLED, Block
from otterquay.config.units import Address, Count, Duration, Positive, Share


class GroupAgent(Block):
    """One agent of the fleet: where the others reach it, and its site."""

    address: Address
    zone: str


class Group(Block):
    """All agents that share work, which of them are members, and how long things may take.

    `name` tells this group's messages from another's. `listen` is this agent's own address where it differs
    from the one that the others are told.
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
    def _agree(self) -> Group:
        if len(self.members) not in (1, 3, 5) or len(set(self.members)) != len(self.members):
            raise ValueError(
                f"members: {self.members}: name three or five different agents (one alone for "
                "trials): an even number bears no more failures than one fewer"
            )
        lacks = [str(m) for m in self.members if str(m) not in self.agent]
        if lacks:
            raise ValueError(f"members: no block agent for {', '.join(lacks)}")
        for name in self.agent:
            if not (name.isascii() and name.isdigit() and int(name) < 0xFFFF):
                raise ValueError(f'agent "{name}": the name is the agent\'s number')
        if not 0 < self.beat * 3 <= self.election:
            raise ValueError("election must be at least three times beat, or a lost message begins an election")
        if not self.election * 2 < self.lost:
            raise ValueError("lost must be over twice election, or a new leader counts as a lost group")
        if self.lease < self.election or self.drift >= 0.5:
            raise ValueError("lease must be at least election, and drift under 50%")
        return self

    def fits(self, zones: list[str], number: int, zone: str, store: str) -> None:
        """ValueError where the group does not fit the agent that reads it."""
        for name, agent in self.agent.items():
            if agent.zone not in zones:
                raise ValueError(f"group.agent.{name}.zone: {agent.zone!r} is none of zones {zones}")
        mine = self.agent.get(str(number))
        if mine is None:
            raise ValueError(f"group: no block agent for this one, {number}")
        if mine.zone != zone:
            raise ValueError(f"group.agent.{number}.zone: {mine.zone!r}, but agent.zone is {zone!r}")
        if not store:
            raise ValueError("group: agent.store is needed, a folder for what this agent promises to others")


class CapacitySite(Block):
    """What one site needs: servers by kind at the least, and a kind of which the demand asks for as many as it
    takes.
    """

    want: dict[str, Positive] = {}
    size: str | None = None


class Capacity(Block):
    """The yard, how many servers may run in all, and what a site may order while it is cut off.

    `retire`: servers that were too many for so long are retired; 0: never. `owes`: an owner that has brought
    nothing for so long, as others see it, is relieved; 0 switches that off.
    """

    yard: str = Field(pattern=r"^http://[^/]+:\d+(/.*)?$")
    bound: Positive
    allowance: Count = 2
    look: Duration = 1000.0
    retire: Duration = 0.0
    owes: Duration = 0.0
    site: Annotated[dict[str, CapacitySite], LABELLED] = {}

    def fits(self, zones: list[str]) -> None:
        """ValueError where sites or sums cannot hold."""
        for name in self.site:
            if name not in zones:
                raise ValueError(f"capacity.site.{name}: is none of zones {zones}")
        if 0 < self.retire < 10 * self.look:
            raise ValueError("capacity.retire: must be at least ten times look, or a lull ends servers; 0: never")
        if 0 < self.owes < 4 * self.look:
            raise ValueError(
                "capacity.owes: must be at least four times look, or one look that is lost relieves "
                "an owner; 0 switches it off"
            )
        wanted = sum(sum(s.want.values()) for s in self.site.values())
        if wanted + self.allowance * len(zones) > self.bound:
            raise ValueError(
                f"capacity: {wanted} servers wanted and allowances of {self.allowance} for "
                f"{len(zones)} sites are over the bound of {self.bound}: raise bound, lower allowance"
            )


class Machine(Block):
    """A kind of server, as the list numbers it: what is known of it beforehand; all may be missing."""

    family: str = ""
    cores: float | None = Field(default=None, gt=0)
    clock_ghz: float | None = Field(default=None, gt=0)
    memory_gib: float | None = Field(default=None, gt=0)
