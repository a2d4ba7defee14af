"""How long something read now may have waited unread because the agent stood still: paused, swapped out, starved.

A beat tells it: one that comes late by more than WOKEN_S shows that the agent stood since the one before. What is
read in the same turn of the loop, or within AFTER_S, may have come at any time since, and nothing tells when; so it
counts as having come at the beginning. Times in seconds; no clock is read here.
"""

from __future__ import annotations

from dataclasses import dataclass

HEARTBEAT_S, STALL_THRESHOLD_S, AFTER_STALL_S = 0.1, 0.1, 0.01


@dataclass(slots=True)
class StallDetector:
    """Beats, and the last time the agent stood still."""

    beat: float
    begin: float = 0.0
    end: float = 0.0

    def heartbeat(self, now: float) -> None:
        """The beat has come."""
        self._look(now)
        self.beat = now

    def max_wait_s(self, now: float) -> float:
        """How long something that is read now may have waited."""
        self._look(now)
        return now - self.begin if now <= self.end + AFTER_STALL_S else 0.0

    def _look(self, now: float) -> None:
        if now - self.beat > HEARTBEAT_S + STALL_THRESHOLD_S:
            self.begin, self.end, self.beat = self.beat, now, now
