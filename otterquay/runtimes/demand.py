"""What a site is asked for: each agent's rate by class, and the sum of those that were heard lately."""

from __future__ import annotations

from dataclasses import dataclass, field

SPAN_S = 5.0  # over which a rate is taken
FRESH_S = 15.0
CLASSES_MOST = 64


@dataclass(slots=True)
class Demand:
    """Requests a second by class: our own as they end, others' as they tell them. Times are our own clock's."""

    begun: float
    counts: dict[str, int] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    told: dict[int, tuple[float, dict[str, float]]] = field(default_factory=dict)

    def record(self, cls: str) -> None:
        """One more."""
        if cls in self.counts or len(self.counts) < CLASSES_MOST:
            self.counts[cls] = self.counts.get(cls, 0) + 1

    def own(self, now: float) -> dict[str, float]:
        """Our rates, of the last whole span."""
        if now - self.begun >= SPAN_S:
            span = now - self.begun
            self.rates = {cls: count / span for cls, count in sorted(self.counts.items())}
            self.counts, self.begun = {}, now
        return self.rates

    def heard(self, now: float, agent: int, rates: dict[str, float]) -> None:
        """Another agent of the site."""
        self.told[agent] = (now, rates)

    def of_site(self, now: float) -> dict[str, float]:
        """The sum; an agent that has fallen silent counts no more."""
        whole = dict(self.own(now))
        for at, rates in self.told.values():
            if now - at <= FRESH_S:
                for cls, rate in rates.items():
                    whole[cls] = whole.get(cls, 0.0) + rate
        return whole
