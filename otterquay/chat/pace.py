"""Pacing of handshakes, without I/O: when all clients return at once, those that are there do not wait for them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Pace:
    """Slots `1 / rate` seconds apart; a slot that nobody took is not kept, beyond `burst` of them."""

    rate: float
    burst: float
    _next: float = float("-inf")

    def wait(self, now: float) -> float:
        """Seconds from `now` until this one's slot; each call takes one."""
        self._next = max(self._next, now - self.burst / self.rate) + 1 / self.rate
        return max(0.0, self._next - now)
