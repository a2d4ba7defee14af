"""Pacing of handshakes, without I/O: when all clients return at once, those that are there do not wait for them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Pace:
    """Slots `1 / rate` seconds apart; a slot that nobody took is not kept, beyond `burst` of them.

    One whose slot would be more than `most` seconds away gets none: a crowd that has gone must not hold up who
    comes after it.
    """

    rate: float
    burst: float
    most: float = float("inf")
    _next: float = float("-inf")

    def wait(self, now: float) -> float | None:
        """Seconds from `now` until this one's slot; each call takes one, but None takes none."""
        slot = max(self._next, now - self.burst / self.rate) + 1 / self.rate
        if slot - now > self.most:
            return None
        self._next = slot
        return max(0.0, slot - now)
