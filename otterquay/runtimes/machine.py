"""Kinds of servers as configured, and estimates of run times."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Machine:
    """The configured properties of a kind: family, and cores, clock in GHz and memory in GiB; all are optional."""

    family: str = ""
    specs: tuple[float | None, ...] = (None, None, None)


@dataclass(frozen=True, slots=True)
class Estimate:
    """A run time in milliseconds; `why` gives its basis, or why it is unknown (then all three values are NaN)."""

    median: float
    low: float
    high: float
    why: str

    @property
    def known(self) -> bool:
        """Whether the run time is known."""
        return not math.isnan(self.median)
