"""Schema of a scripted day in HCL: fleet, traffic, builds and timed faults."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from otterquay.config.load import ConfigError, load_document, load_service
from otterquay.config.schema import LABELLED, REPEATED, Block, Service
from otterquay.config.units import Count, Duration, Positive, Share

FaultKind = Literal[
    "zone_cut",
    "one_way",
    "link_reset",
    "link_slow",
    "zone_loss",
    "kill_agent",
    "stop_agent",
    "pause_agent",
    "drain",
    "kill_servers",
    "pause_servers",
    "slow_servers",
    "fail_servers",
    "silent_servers",
    "garbage_servers",
    "midway_servers",
    "twice_servers",
    "shared_slow",
    "burst",
    "desk_stall",
    "lose_vote_answers",
    "list_late",
    "drop_feeds",
    "repeat_feeds",
]


class FleetPlan(Block):
    """The machines; each gets a random speed between `speed_least` and `speed_most`."""

    machines: Positive
    cores: Positive = 2
    speed_least: float = Field(default=0.9, gt=0)
    speed_most: float = Field(default=1.1, gt=0)
    queue: Positive = 64
    max_connections: Positive = 512
    handshake: Duration = 0.0
    list_lag: Duration = 300.0
    desk_lag: Duration = 200.0
    start: Duration = 500.0


class AgentsPlan(Block):
    """The zone of each agent and its relative share of the traffic."""

    zones: list[str] = Field(min_length=1)
    weights: list[float] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_lengths(self) -> AgentsPlan:
        if len(self.zones) != len(self.weights):
            raise ValueError("zones and weights differ in length")
        return self


class ClassPlan(Block):
    """One request class; work is random between `work_least` and `work_most` on a core of speed 1."""

    share: Share
    work_least: Duration
    work_most: Duration


class TrafficPlan(Block):
    """Operations per second of all clients together, and the retry policy of the clients."""

    rate: float = Field(gt=0)
    retries: Count = 2
    backoff: Duration = 150.0
    patience_least: Share = 0.4
    class_: Annotated[dict[str, ClassPlan], LABELLED] = Field(alias="class", min_length=1)


class BuildPlan(Block):
    """A build that the release desk offers, and its flaw."""

    at: Duration
    flaw: Literal["none", "errors", "class", "slow", "load", "late", "wrong", "shared"] = "none"
    share: Share = 0.5
    of_class: str = ""
    factor: float = Field(default=2.5, ge=1)
    busy: Share = 0.5
    after: Duration = 5000.0


class FaultPlan(Block):
    """A fault with its start and length; which other fields apply depends on `kind`.

    `factor` is a multiple, but for `link_slow` a delay in milliseconds, and for `list_late` one in seconds.
    """

    kind: FaultKind
    at: Duration
    lasts: Duration = 0.0
    zones: list[str] = []
    agent: Count = 0
    count: Positive = 1
    factor: float = Field(default=2.0, gt=0)
    share: Share = 0.5


class Day(Block):
    """A scripted day."""

    service: str
    duration: Duration
    fleet: FleetPlan
    agents: AgentsPlan
    traffic: TrafficPlan
    build: Annotated[dict[str, BuildPlan], LABELLED] = {}
    fault: Annotated[list[FaultPlan], REPEATED] = []


def load_day(path: Path) -> tuple[Day, Service]:
    """Load and check a day and its service settings; raises ConfigError if either is invalid."""
    day = load_document(Day, path)
    service = load_service(path.parent / day.service)
    check_day(day, service, str(path))
    return day, service


def check_day(day: Day, service: Service, source: str) -> None:
    """Raise ConfigError if the day refers to zones, classes or agents that do not exist."""
    problems = [
        f"agents.zones: {z!r} is none of {service.zones}" for z in day.agents.zones if z not in service.zones
    ]
    problems += [
        f"traffic.class {c!r}: is none of {list(service.class_)}"
        for c in day.traffic.class_
        if c not in service.class_
    ]
    problems += [
        f"build {b!r}: of_class {p.of_class!r} is none of {list(service.class_)}"
        for b, p in day.build.items()
        if p.flaw == "class" and p.of_class not in service.class_
    ]
    problems += [
        f"build {b!r}: a build's name is a number over 1" for b in day.build if not b.isdigit() or int(b) < 2
    ]
    for i, fault in enumerate(day.fault):
        if fault.agent >= len(day.agents.zones):
            problems.append(f"fault.{i}: there is no agent {fault.agent}")
        problems += [
            f"fault.{i}: zone {z!r} is none of {service.zones}" for z in fault.zones if z not in service.zones
        ]
        required = {"zone_cut": 2, "one_way": 2, "link_reset": 2, "link_slow": 2, "zone_loss": 1}.get(fault.kind, 0)
        if len(fault.zones) != required:
            problems.append(f"fault.{i}: {fault.kind} takes {required} zones, not {len(fault.zones)}")
    if abs(sum(c.share for c in day.traffic.class_.values()) - 1) > 1e-6:
        problems.append("traffic.class: the shares do not add up to 100%")
    if problems:
        raise ConfigError(source, problems)
