"""Reads of the group's books, judged against what was answered before they were asked.

A read is linearizable where it takes effect at one moment between its question and its answer. What can be seen of
that from the wires: an order whose writing was answered before the question left is in the books unless somebody
had asked to close it before the answer came; one whose closing was answered before is not; and what a site was
handed is there. Each is exact: none of it can fail in a linearizable history.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.token import site_of


@dataclass(slots=True)
class ReadChecker:
    """Questions by agent and number; times are when things left or arrived."""

    asked: dict[tuple[int, int], float] = field(default_factory=dict)
    written: dict[str, tuple[float, str]] = field(default_factory=dict)  # by order: when answered, and its site
    closing: dict[str, float] = field(default_factory=dict)  # by order: when its closing was first asked for
    closed: dict[str, float] = field(default_factory=dict)  # and first answered
    granted: list[tuple[float, str, int]] = field(default_factory=list)

    def message_sent(self, at: float, agent: int, message: object) -> None:
        """A message leaves an agent."""
        match message:
            case dm.AskBooks():
                self.asked.setdefault((agent, message.number), at)
            case dm.Propose() if isinstance(command := message.proposal.command, cm.Settle) and command.final:
                self.closing.setdefault(command.id, at)

    def order_recorded(self, at: float, order: cm.Order) -> None:
        """Its owner was told that an order is written down."""
        self.written.setdefault(order.id, (at, site_of(order.duty) or ""))

    def order_settled(self, at: float, settle: cm.Settle) -> None:
        """Its owner was told that an order is closed."""
        if settle.final:
            self.closed.setdefault(settle.id, at)

    def allotment_recorded(self, at: float, allot: cm.Allot) -> None:
        """The fleet's owner was told that a site has so much."""
        self.granted.append((at, allot.site, allot.total))

    def check_answer(self, at: float, agent: int, books: dm.Books) -> list[str]:
        """What an answer to this agent cannot be."""
        asked = self.asked.get((agent, books.number))
        if asked is None:
            return []  # relayed, or of an earlier life: when it was asked is not known
        found = [
            f"{at:.2f}: {name} was written by {when:.2f}, not in {books.site}'s books of {asked:.2f}"
            for name, (when, site) in self.written.items()
            if site == books.site and when < asked and name not in books.orders and self.closing.get(name, at) >= at
        ]
        found += [
            f"{at:.2f}: {name} was closed by {when:.2f}, open in {books.site}'s books of {asked:.2f}"
            for name, when in self.closed.items()
            if when < asked and name in books.orders
        ]
        found += [
            f"{at:.2f}: {site} was handed {total} by {when:.2f}, {books.granted.get(site)} in books"
            for when, site, total in self.granted
            if when < asked and books.granted.get(site, 0) < total
        ]
        return found
