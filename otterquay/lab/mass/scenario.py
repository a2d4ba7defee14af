"""What a fleet's run is made of, and what it came to. Times are ms from the start."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterquay.config.schema import Service


@dataclass(frozen=True, slots=True)
class Fault:
    """`zone` loses its servers (None: none) and has them back cold, which lists tell `told_ms` later (None: never);
    a part `killed_share` of the agents starts anew at `back`."""

    lost: float = 8000.0
    back: float = 13000.0
    zone: int | None = 0
    list_delay_ms: float | None = 0.0
    killed_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Release:
    """Build 2 is offered and goes on by a stage each `step_ms`, until it is released or, at `rollback_at`, sent
    back. Its servers fail a part `error_share` of what they get; each replaced server is told to drain `drain_ms`
    before its end."""

    offered: float = 2000.0
    step_ms: float = 4000.0
    rollback_at: float | None = None
    error_share: float = 0.0
    drain_ms: float = 1500.0


@dataclass(frozen=True, slots=True)
class FleetScenario:
    """A fleet: `use` is the part of the warm servers' work that is asked for, `work_ms` a request's mean work. Each
    agent hears all news up to `late_ms` late, each by a time of its own; a part `leave_share` of the clients give
    up."""

    service: Service
    agents: int
    servers: int
    fault: Fault = Fault()
    release: Release | None = None
    use: float = 0.55
    few: int | None = None  # servers in the first zone; None for even zones
    work_ms: float = 150.0
    length_ms: float = 20000.0
    max_news_delay_ms: float = 0.0
    leave_share: float = 0.0


@dataclass(slots=True)
class Result:
    """`violations` and `checked` by rule, of all five; `peak_cold_load` is the most that a cold server was sent in
    a span of rule 4, over what it bears without the slack for chance; `informed_share` the part of it from agents
    told of its start; `to_cold` how many were sent to cold servers."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    peak_cold_load: float = 0.0
    informed_share: float = 0.0
    to_cold: int = 0
    violations: dict[str, list[str]] = field(default_factory=dict)
    checked: dict[str, int] = field(default_factory=dict)

    @property
    def broken(self) -> bool:
        """Whether any rule was."""
        return any(self.violations.values())
