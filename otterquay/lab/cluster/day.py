"""A cluster day as HCL: sites and members, what is wanted of the yard, and troubles, by time or by what crosses."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from otterquay.config.blocks import LABELLED, REPEATED, Block
from otterquay.config.load import load_document
from otterquay.config.units import Count, Duration, Positive, Share

Kind = Literal[
    "stop",
    "kill",
    "kill_all",
    "cut_site",
    "split_site",
    "one_way",
    "flap",
    "cut_agent",
    "lose_majority",
    "yard",
    "links",
    "late_yard",
    "empty_disk",
    "old_disk",
    "full_disk",
    "servers_end",
    "nonsense",
    "gray",
    "roll",
    "kill_most",
]


class SitePlan(Block):
    """A site: how many agents, how many of them are members, and the servers wanted there by kind."""

    agents: Positive
    members: Count = 0
    want: dict[str, Positive] = {}


class Trouble(Block):
    """Something that goes wrong at a time, or at the first crossing of `when` after it.

    `who` is an agent's number, or "leader", "owner:DUTY", "coordinator:SITE" as the wires show it then.
    """

    kind: Kind
    at: Duration
    lasts: Duration = 0.0
    when: Literal["", "order", "claim", "handover", "yard_order", "lead"] = ""
    after: Duration = 0.0  # from the crossing on
    who: str = ""
    site: str = ""
    inward: bool = False
    loss: Share = 0.0
    repeat: Share = 0.0
    late: Duration = 0.0
    half: Share = 0.0
    count: Positive = 1
    times: Positive = 3
    server: str = ""


class ClusterDay(Block):
    """A whole day. `rate` is requests a second through all agents, judged by the auditor of the five rules."""

    duration: Duration
    rest: Duration = 60000.0
    rate: float = Field(default=30.0, gt=0)
    machines: Positive = 4
    bound: Positive
    allowance: Count = 3
    owes: Duration = 0.0  # by when an owner has to have brought something; 0: no posts
    ends_every: Duration = 1500.0  # a server ends somewhere, so that there is always something to order
    site: Annotated[dict[str, SitePlan], LABELLED] = Field(min_length=1)
    trouble: Annotated[list[Trouble], REPEATED] = []

    @model_validator(mode="after")
    def _agree(self) -> ClusterDay:
        members = sum(s.members for s in self.site.values())
        if members not in (3, 5):
            raise ValueError(f"site: {members} members in all, must be three or five")
        for name, site in self.site.items():
            if site.members > site.agents:
                raise ValueError(f"site.{name}: {site.members} members of {site.agents} agents")
        for i, one in enumerate(self.trouble):
            if one.site and one.site not in self.site:
                raise ValueError(f"trouble.{i}.site: {one.site!r} is none of {list(self.site)}")
        return self


def load_cluster_day(path: Path) -> ClusterDay:
    """A checked day; ConfigError."""
    return load_document(ClusterDay, path)
