"""Kinds of servers as the settings describe them, and what is known of a run time."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Machine:
    """What is known of a kind beforehand; all may be missing."""

    family: str = ""
    specs: tuple[float | None, ...] = (None, None, None)


@dataclass(frozen=True, slots=True)
class Estimate:
    """Milliseconds; `why` says what it rests on, or why nothing is known (then all three are NaN)."""

    median: float
    low: float
    high: float
    why: str

    @property
    def known(self) -> bool:
        """Whether there is one."""
        return not math.isnan(self.median)
