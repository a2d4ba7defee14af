"""The schema of a cluster day in HCL: sites, wanted servers, and troubles triggered by time or by an event."""

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
    """A site: the number of agents, of members among them, and of wanted servers by kind."""

    agents: Positive
    members: Count = 0
    want: dict[str, Positive] = {}


class Trouble(Block):
    """A fault injected at a time, or at the first event `when` after it.

    `who` is an agent's number, or "leader", "owner:DUTY" or "coordinator:SITE" as last seen on the wire.
    """

    kind: Kind
    at: Duration
    lasts: Duration = 0.0
    when: Literal["", "order", "claim", "handover", "yard_order", "lead"] = ""
    after: Duration = 0.0  # delay after the event `when`
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
    """A whole day, whose times count from when all agents have joined the group.

    `rate` is in requests per second over all agents; the auditor checks the five rules on them.
    """

    duration: Duration
    rest: Duration = 60000.0
    rate: float = Field(default=30.0, gt=0)
    machines: Positive = 4
    bound: Positive
    allowance: Count = 3
    owes: Duration = 0.0  # time within which an owner must have reported progress; 0: no posts
    ends_every: Duration = 1500.0  # interval at which a server ends, so that owners always have one to order
    site: Annotated[dict[str, SitePlan], LABELLED] = Field(min_length=1)
    trouble: Annotated[list[Trouble], REPEATED] = []

    @model_validator(mode="after")
    def _check_consistency(self) -> ClusterDay:
        members = sum(s.members for s in self.site.values())
        if members not in (3, 5):
            raise ValueError(f"site: {members} members in all, must be three or five")
        for name, site in self.site.items():
            if site.members > site.agents:
                raise ValueError(f"site.{name}: {site.members} members of {site.agents} agents")
        for i, trouble in enumerate(self.trouble):
            if trouble.site and trouble.site not in self.site:
                raise ValueError(f"trouble.{i}.site: {trouble.site!r} is none of {list(self.site)}")
        return self


def load_cluster_day(path: Path) -> ClusterDay:
    """Load and validate a day; raises ConfigError."""
    return load_document(ClusterDay, path)
