"""Scenario and result of a fleet simulation. Times are in ms from the start of the run."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterquay.config.schema import Service


@dataclass(frozen=True, slots=True)
class Fault:
    """Loss of the servers of one zone, and a restart of agents when they return.

    `zone` loses its servers at `lost_at` (None: no zone does). They return cold at `restored_at`, and the fleet
    list shows them `list_delay_ms` later (None: never). A share `killed_share` of the agents restarts at
    `restored_at`.
    """

    lost_at: float = 8000.0
    restored_at: float = 13000.0
    zone: int | None = 0
    list_delay_ms: float | None = 0.0
    killed_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Release:
    """Release of build 2.

    It is offered at `offered_at` and advances one stage every `stage_interval_ms`, until it is released or, at
    `rollback_at`, rolled back. Its servers fail a share `error_share` of their attempts, from `fails_after_ms`
    after their start on and while at least `fails_over_busy` of their cores are busy. A replaced server is listed
    as draining for `drain_ms` before it stops.
    """

    offered_at: float = 2000.0
    stage_interval_ms: float = 4000.0
    rollback_at: float | None = None
    error_share: float = 0.0
    drain_ms: float = 1500.0
    fails_after_ms: float = 0.0
    fails_over_busy: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetScenario:
    """A fleet and the load on it.

    `load` is the offered work as a share of the capacity of the warm servers, `work_ms` the mean work per request.
    Each update of the list or the stage reaches each agent with its own delay of up to `max_news_delay_ms`. A share
    `leave_share` of the clients abandons its request.
    """

    service: Service
    agents: int
    servers: int
    fault: Fault = Fault()
    release: Release | None = None
    load: float = 0.55
    first_zone_servers: int | None = None  # None: the same number of servers in each zone
    work_ms: float = 150.0
    duration_ms: float = 20000.0
    max_news_delay_ms: float = 0.0
    leave_share: float = 0.0


@dataclass(slots=True)
class Result:
    """Counts of requests by outcome, and the violations of the five rules.

    `violations` and `checked` are by rule. `peak_cold_load` is the largest number of attempts that a cold server
    received in a window of rule 4, divided by the number it can handle (without the allowance for chance), and
    `informed_share` the share of these attempts from agents that had been notified of its start. `to_cold` counts
    attempts to cold servers.
    """

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
        """Whether any rule was violated."""
        return any(self.violations.values())
