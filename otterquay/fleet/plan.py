"""What one agent's part in the fleet's work is made of; from the settings, or drawn by a laboratory."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from otterquay.duties.lease import Terms
from otterquay.group.parts import Sizes
from otterquay.group.parts import Times as GroupTimes
from otterquay.runtimes.machine import Machine
from otterquay.runtimes.sizing import Sizing
from otterquay.sites.site import Times as SiteTimes


@dataclass(frozen=True, slots=True)
class Intervals:
    """Seconds: how often an agent tells the leader of itself, looks at the yard, and how long a journal is
    awaited.
    """

    status: float = 0.5
    yard: float = 1.0
    settle: float = 20.0  # a site that is not heard, or whose coordinator is, is settled from the yard's list
    epoch: float = 60.0  # run times older than some epochs fade
    retire: float = 0.0  # how long servers have to be too many before they are retired; 0: never
    owes: float = 0.0  # by when an owner has to have brought something; 0: no posts, and nobody is relieved


@dataclass(frozen=True, slots=True)
class Plan:
    """The same for all agents but `me`; `sites` gives each agent's site, `wants` servers by site and kind."""

    me: int
    members: tuple[int, ...]
    sites: Mapping[int, str]
    bound: int
    allowance: int
    wanted: Mapping[str, Mapping[str, int]]
    back_votes: int = 1
    machines: Mapping[str, Machine] = field(default_factory=dict)
    sized: Mapping[str, str] = field(default_factory=dict)  # by site: the kind ordered as the demand asks
    sizing: Sizing = field(default_factory=Sizing)
    intervals: Intervals = field(default_factory=Intervals)
    terms: Terms = field(default_factory=Terms)
    group: GroupTimes = field(default_factory=GroupTimes)
    sizes: Sizes = field(default_factory=Sizes)
    site_times: SiteTimes = field(default_factory=SiteTimes)

    @property
    def site(self) -> str:
        """Our own."""
        return self.sites[self.me]

    def site_names(self) -> list[str]:
        """All sites."""
        return sorted(set(self.sites.values()))

    def agents_of(self, site: str) -> tuple[int, ...]:
        """The agents of a site."""
        return tuple(sorted(a for a, s in self.sites.items() if s == site))
