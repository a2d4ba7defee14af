"""Leases: how long an owner may consider a duty its own, and how long the leader waits before it expires the lease.

The owner counts from before it sent the request, the leader from when the grant or renewal was applied, which is
later. Let L be the duration of the lease and d the `drift`, the fraction by which a clock may run fast or slow.
Then the lease ends at the owner first: requested + L(1 - d) on its clock is at most L true seconds after the
request, and applied + L(1 + d) on the leader's clock at least L after applying. A new leader does not know when
earlier grants were applied and counts all of them from its own first entry. If a clock drifts more, or an owner is
paused between reading the clock and writing, two agents may consider themselves owners: every receiver tells them
apart by the fencing token and refuses the older one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from otterquay.duties.state import Duties
from otterquay.duties.token import Token


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Duration of a lease in seconds, and the fraction by which a clock may run fast or slow."""

    lease: float = 4.0
    drift: float = 0.02

    @property
    def owner(self) -> float:
        """How long an owner relies on the lease, counted from before its request."""
        return self.lease * (1 - self.drift)

    @property
    def group(self) -> float:
        """How long the leader waits for the lease to end, counted from applying the grant or renewal."""
        return self.lease * (1 + self.drift)


@dataclass(slots=True)
class OwnedDuty:
    """A duty that this agent considers its own until the time `until`."""

    token: Token
    until: float
    renewing: bool = False


@dataclass(slots=True)
class LeaseRegistry:
    """The leader's record of when each lease last began. Volatile: a new leader starts with an empty registry."""

    terms: LeaseTerms
    # by duty: token, renewals, and from when the lease counts
    since: dict[str, tuple[Token, int, float]] = field(default_factory=dict)
    expiry_proposed_at: dict[str, float] = field(default_factory=dict)

    def overdue(self, now: float, leading_since: float, duties: Duties) -> list[tuple[str, Token, int]]:
        """Leases that have certainly expired, with the renewals counted at that time."""
        expired = []
        first_check = not self.since  # existing leases count from this leader's first entry
        for name, duty in duties.group_state.duties.items():
            token, renewals, at = self.since.get(name, (None, -1, 0.0))
            if (token, renewals) != (duty.token, duty.renewals):
                at = leading_since if first_check else now
                self.since[name] = (duty.token, duty.renewals, at)
            if duty.owner is None:
                continue
            if now - at > self.terms.group and now - self.expiry_proposed_at.get(name, -1e9) > self.terms.lease / 4:
                self.expiry_proposed_at[name] = now
                expired.append((name, duty.token, duty.renewals))
        return expired
