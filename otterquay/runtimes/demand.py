"""Request rates of a site by class: each agent's own, and the sum over the agents heard lately."""

from __future__ import annotations

from dataclasses import dataclass, field

RATE_WINDOW_S = 5.0
RATE_VALID_S = 15.0  # after this, another agent's rates no longer count
MAX_CLASSES = 64


@dataclass(slots=True)
class Demand:
    """Requests per second by class: this agent's, counted as they end, and those that other agents report."""

    window_start: float
    counts: dict[str, int] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    received: dict[int, tuple[float, dict[str, float]]] = field(default_factory=dict)

    def record(self, cls: str) -> None:
        """Count one ended request."""
        if cls in self.counts or len(self.counts) < MAX_CLASSES:
            self.counts[cls] = self.counts.get(cls, 0) + 1

    def own_rates(self, now: float) -> dict[str, float]:
        """Return this agent's rates over the last complete window."""
        if now - self.window_start >= RATE_WINDOW_S:
            window_s = now - self.window_start
            self.rates = {cls: count / window_s for cls, count in sorted(self.counts.items())}
            self.counts, self.window_start = {}, now
        return self.rates

    def receive(self, now: float, agent: int, rates: dict[str, float]) -> None:
        """Store the rates that another agent of the site reports."""
        self.received[agent] = (now, rates)

    def site_rates(self, now: float) -> dict[str, float]:
        """Return the site's total rates, without agents not heard for `RATE_VALID_S`."""
        total = dict(self.own_rates(now))
        for at, rates in self.received.values():
            if now - at <= RATE_VALID_S:
                for cls, rate in rates.items():
                    total[cls] = total.get(cls, 0.0) + rate
        return total
