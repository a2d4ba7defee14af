"""Detects clients that do not read what was written to them, on HTTP and RESP connections. Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WriteStall:
    """The bytes written to a connection, and since when none of the unsent ones has been sent."""

    written: int = 0
    sent: int = -1  # bytes that had been sent when progress was last seen
    since: float | None = None

    def stalled_s(self, unsent: int, now: float) -> float:
        """Update with the number of unsent bytes; return how long none has been sent, or below 0 on progress."""
        if not unsent or self.written - unsent != self.sent:
            self.sent, self.since = self.written - unsent, None
        else:
            self.since = self.since or now
        return now - self.since if self.since else -1.0
