"""Checks reads of the group's records for linearizability, from the messages on the wire.

A linearizable read takes effect at one moment between its request and its answer. Three conditions follow:

- An order whose recording was confirmed before the request was sent is in the answer, unless somebody asked to
  close it before the answer arrived.
- An order whose closing was confirmed before the request was sent is not in the answer.
- The answer shows at least the allowance whose grant to a site was confirmed before the request was sent.

No linearizable history violates any of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.token import site_of


@dataclass(slots=True)
class ReadChecker:
    """State for the checks: read requests by agent and number. Times are those of sending or arrival."""

    asked: dict[tuple[int, int], float] = field(default_factory=dict)
    recorded: dict[str, tuple[float, str]] = field(default_factory=dict)  # by order: when confirmed, and its site
    closing: dict[str, float] = field(default_factory=dict)  # by order: when its closing was first requested
    closed: dict[str, float] = field(default_factory=dict)  # by order: when its closing was first confirmed
    granted: list[tuple[float, str, int]] = field(default_factory=list)

    def message_sent(self, at: float, agent: int, message: object) -> None:
        """Note a read request or a request to close an order, as an agent sends it."""
        match message:
            case dm.AskBooks():
                self.asked.setdefault((agent, message.number), at)
            case dm.Propose() if isinstance(command := message.proposal.command, cm.Settle) and command.final:
                self.closing.setdefault(command.id, at)

    def order_recorded(self, at: float, order: cm.Order) -> None:
        """Note that an order's owner received the confirmation that the order is recorded."""
        self.recorded.setdefault(order.id, (at, site_of(order.duty) or ""))

    def order_settled(self, at: float, settle: cm.Settle) -> None:
        """Note that an order's owner received the confirmation of a settlement."""
        if settle.final:
            self.closed.setdefault(settle.id, at)

    def allotment_recorded(self, at: float, allot: cm.Allot) -> None:
        """Note that the fleet's owner received the confirmation of a site's allowance."""
        self.granted.append((at, allot.site, allot.total))

    def check_answer(self, at: float, agent: int, books: dm.Books) -> list[str]:
        """The violations shown by an answer to this agent."""
        asked = self.asked.get((agent, books.number))
        if asked is None:
            return []  # relayed, or requested by an earlier incarnation: the time of the request is unknown
        violations = [
            f"{at:.2f}: {name} was recorded by {when:.2f}, not in {books.site}'s books of {asked:.2f}"
            for name, (when, site) in self.recorded.items()
            if site == books.site and when < asked and name not in books.orders and self.closing.get(name, at) >= at
        ]
        violations += [
            f"{at:.2f}: {name} was closed by {when:.2f}, open in {books.site}'s books of {asked:.2f}"
            for name, when in self.closed.items()
            if when < asked and name in books.orders
        ]
        violations += [
            f"{at:.2f}: {site} was handed {total} by {when:.2f}, {books.granted.get(site)} in books"
            for when, site, total in self.granted
            if when < asked and books.granted.get(site, 0) < total
        ]
        return violations
