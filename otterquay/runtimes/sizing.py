"""Computes how many servers of a kind a site needs, with a margin, from the upper bounds of run times."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from otterquay.runtimes.machine import Estimate


@dataclass(frozen=True, slots=True)
class Sizing:
    """`margin` is the share of server time kept free; the count falls only once it drops by the share `slack`."""

    margin: float = 0.3
    slack: float = 0.25
    min_servers: int = 1


@dataclass(frozen=True, slots=True)
class Need:
    """The number of servers needed of a kind, and why."""

    count: int
    why: str
    known: bool = True  # whether the run times of all requested classes are known


def servers_needed(
    demand: Mapping[str, float],
    times: Mapping[str, Estimate],
    cores: float,
    running: int,
    sizing: Sizing,
) -> Need:
    """Return the servers needed for `demand` requests per second by class, on one kind with that many cores.

    While the run time of a class is unknown, the count does not exceed the larger of `running` and the minimum:
    those servers measure it first.
    """
    unknown = [cls for cls, rate in demand.items() if rate > 0 and not (cls in times and times[cls].known)]
    core_time = sum(rate * times[cls].high / 1e3 for cls, rate in demand.items() if cls not in unknown and rate > 0)
    count = max(math.ceil(core_time / (cores * (1.0 - sizing.margin))), sizing.min_servers)
    if unknown:
        return Need(
            max(min(count, running) if running else sizing.min_servers, sizing.min_servers),
            f"run times of {', '.join(sorted(unknown))} are unknown: no more than the minimum, to measure them",
            False,
        )
    if running and running * (1.0 - sizing.slack) < count <= running:
        return Need(running, "within the hysteresis band")
    return Need(count, f"demand is {core_time:.2f} cores")
