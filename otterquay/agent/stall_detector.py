"""Detects event-loop stalls (process paused, swapped out or starved), to bound how long input waited unread.

A heartbeat that is late by more than STALL_THRESHOLD_S shows that the loop has been stalled since the one before.
Input that is read in the same loop iteration, or within AFTER_STALL_S, may have arrived at any time since; it is
counted as having arrived at the start of the stall. Times are seconds; no clock is read here.

A signal is counted from when the event loop is known to have run before it, however short the time since: unlike a
request, which may be given up by then, a shutdown has to end in time.
"""

from __future__ import annotations

from dataclasses import dataclass

HEARTBEAT_S = 0.1
STALL_THRESHOLD_S = 0.1
AFTER_STALL_S = 0.01
LATE_HEARTBEAT_S = 0.02  # a heartbeat that is later was held up, and a signal with it
AFTER_LATE_HEARTBEAT_S = 0.05  # within which such a signal is handled


@dataclass(slots=True)
class StallDetector:
    """The last heartbeat, and the begin and end of the last stall."""

    last_heartbeat: float
    begin: float = 0.0
    end: float = 0.0
    previous_heartbeat: float = 0.0
    late_since: float = 0.0  # the heartbeat before the last one that was late
    late_until: float = 0.0

    def heartbeat(self, now: float) -> None:
        """Record a heartbeat."""
        self._detect(now)
        if now > self.last_heartbeat:
            self.previous_heartbeat, self.last_heartbeat = self.last_heartbeat, now

    def max_signal_wait_s(self, now: float) -> float:
        """Return how long a signal that is handled now may have waited."""
        self._detect(now)
        if now <= self.late_until + AFTER_LATE_HEARTBEAT_S:
            return now - self.late_since
        if now <= self.last_heartbeat + AFTER_STALL_S:  # both may have come due while the process was stopped
            return now - self.previous_heartbeat
        return now - self.last_heartbeat

    def max_wait_s(self, now: float) -> float:
        """Return how long input that is read now may have waited."""
        self._detect(now)
        return now - self.begin if now <= self.end + AFTER_STALL_S else 0.0

    def _detect(self, now: float) -> None:
        if now - self.last_heartbeat > HEARTBEAT_S + LATE_HEARTBEAT_S:
            self.late_since, self.late_until = self.last_heartbeat, now
        if now - self.last_heartbeat > HEARTBEAT_S + STALL_THRESHOLD_S:
            self.begin, self.end = self.last_heartbeat, now
            self.previous_heartbeat, self.last_heartbeat = self.last_heartbeat, now
