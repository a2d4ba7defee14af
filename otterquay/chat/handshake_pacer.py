"""Rate limit for handshakes, without I/O: a mass reconnect must not delay the clients that are connected."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class HandshakePacer:
    """Assigns slots `1 / rate` seconds apart; at most `burst` unused slots are saved up.

    A connection whose slot would be more than `max_wait_s` seconds away gets none: clients that have given up
    meanwhile must not delay later ones.
    """

    rate: float
    burst: float
    max_wait_s: float = float("inf")
    _next_slot: float = float("-inf")

    def reserve_slot(self, now: float) -> float | None:
        """Reserve the next slot and return the seconds until it; None, reserving none, when it is too far away."""
        slot = max(self._next_slot, now - self.burst / self.rate) + 1 / self.rate
        if slot - now > self.max_wait_s:
            return None
        self._next_slot = slot
        return max(0.0, slot - now)
