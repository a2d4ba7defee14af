"""How many servers of a kind a site needs, so that its work fits with a margin at the interval's upper end."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from otterquay.runtimes.machine import Estimate


@dataclass(frozen=True, slots=True)
class Sizing:
    """`margin`: the part of a server's time that stays free. A fall is followed once it is `slack` of what runs."""

    margin: float = 0.3
    slack: float = 0.25
    least: int = 1


@dataclass(frozen=True, slots=True)
class Need:
    """Servers wanted of a kind, and why."""

    count: int
    why: str
    known: bool = True  # the run times of all that is asked for are


def needed(
    demand: Mapping[str, float],
    times: Mapping[str, Estimate],
    cores: float,
    have: int,
    sizing: Sizing,
) -> Need:
    """For so many requests a second by class on servers of one kind with that many cores, of which `have` run.

    A class with an unknown run time asks for the least number: what runs there teaches.
    """
    unknown = [cls for cls, rate in demand.items() if rate > 0 and not (cls in times and times[cls].known)]
    busy = sum(rate * times[cls].high / 1e3 for cls, rate in demand.items() if cls not in unknown and rate > 0)
    count = max(math.ceil(busy / (cores * (1.0 - sizing.margin))), sizing.least)
    if unknown:
        return Need(
            max(min(count, have) if have else sizing.least, sizing.least),
            f"run times of {', '.join(sorted(unknown))} are unknown: no more than the least, to learn from",
            False,
        )
    if have and have * (1.0 - sizing.slack) < count <= have:
        return Need(have, "within what runs")
    return Need(count, f"{busy:.2f} of a core's time are asked for")
