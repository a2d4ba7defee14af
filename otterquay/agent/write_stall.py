"""How long a client has not taken what was written to it; one count for every front. Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WriteStall:
    """Bytes written to a connection, and since when none of what is still with us has left."""

    written: int = 0
    taken_off: int = -1  # bytes that the client had taken off us at the last look that saw it take some
    since: float | None = None

    def stalled_s(self, unsent: int, now: float) -> float:
        """A look, with the bytes not yet sent: for how long the client has taken none; below 0 if it does."""
        if not unsent or self.written - unsent != self.taken_off:
            self.taken_off, self.since = self.written - unsent, None
        else:
            self.since = self.since or now
        return now - self.since if self.since else -1.0
