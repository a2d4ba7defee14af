"""Pacing of handshakes, without I/O: when all clients return at once, those that are there do not wait for them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class HandshakePacer:
    """Slots `1 / rate` seconds apart; a slot that nobody took is not kept, beyond `burst` of them.

    One whose slot would be more than `most` seconds away gets none: a crowd that has gone must not hold up who
    comes after it.
    """

    rate: float
    burst: float
    max_wait_s: float = float("inf")
    _next_slot: float = float("-inf")

    def reserve_slot(self, now: float) -> float | None:
        """Seconds from `now` until this one's slot; each call takes one, but None takes none."""
        slot = max(self._next_slot, now - self.burst / self.rate) + 1 / self.rate
        if slot - now > self.max_wait_s:
            return None
        self._next_slot = slot
        return max(0.0, slot - now)
