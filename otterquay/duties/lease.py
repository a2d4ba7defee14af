"""Leases: how long an owner may think that it owns, and how long the group thinks that it may.

The owner counts from before it asked, the leader from when the grant or renewal was applied, which is later.
With clocks that run within `drift` of true time the owner's end comes first: asked + L(1 - d) of its clock is
at most L true seconds after asking, and applied + L(1 + d) of the leader's at least L after applying. A fresh
leader did not see when earlier ones were applied and counts all from its own first entry. Where a clock is
off by more, or an owner is stopped between its look at the clock and its write, two may think that they own:
the token tells them apart at every receiver, and the older is refused.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from otterquay.duties.state import Duties
from otterquay.duties.token import Token


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Seconds of a lease, and by what part a clock may run fast or slow."""

    lease: float = 4.0
    drift: float = 0.02

    @property
    def owner(self) -> float:
        """How long an owner counts on, from before it asked."""
        return self.lease * (1 - self.drift)

    @property
    def group(self) -> float:
        """How long the leader waits, from when it applied."""
        return self.lease * (1 + self.drift)


@dataclass(slots=True)
class OwnedDuty:
    """A duty that this agent owns, as far as it knows."""

    token: Token
    until: float
    renewing: bool = False


@dataclass(slots=True)
class LeaseRegistry:
    """The leader's: when each lease was last seen to begin. Volatile: a fresh leader begins a fresh book."""

    terms: LeaseTerms
    since: dict[str, tuple[Token, int, float]] = field(default_factory=dict)
    asked: dict[str, float] = field(default_factory=dict)  # when an expiry was last proposed

    def overdue(self, now: float, led_at: float, duties: Duties) -> list[tuple[str, Token, int]]:
        """Leases that have run out for sure, with the renewals that were counted."""
        found = []
        begun = not self.since  # the first look: what is there already counts from this leader's first entry
        for name, duty in duties.group_state.duties.items():
            token, renewals, at = self.since.get(name, (None, -1, 0.0))
            if (token, renewals) != (duty.token, duty.renewals):
                at = led_at if begun else now
                self.since[name] = (duty.token, duty.renewals, at)
            if duty.owner is None:
                continue
            if now - at > self.terms.group and now - self.asked.get(name, -1e9) > self.terms.lease / 4:
                self.asked[name] = now
                found.append((name, duty.token, duty.renewals))
        return found
