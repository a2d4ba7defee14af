"""The duty `capacity/SITE`: settles earlier orders with the yard, then keeps the wanted number of servers running.

Each order is committed to the group's state under its own id before it goes to the yard, so that the next owner of
the duty finds it there and completes it under the same id.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.calls import Ask, Propose
from otterquay.duties.token import Token, duty_of
from otterquay.duties.yard_orders import (
    ANSWER_TIMEOUT_S,
    STATUS_STALE_TOKEN,
    Answer,
    PendingOrder,
    Request,
    SiteListing,
)


@dataclass(slots=True)
class SiteReconciler:
    """The work of one ownership of the duty; it ends with its token."""

    site: str
    token: Token
    # of the time and the servers alive by kind
    wanted_servers: Callable[[float, Mapping[str, int]], Mapping[str, int]]
    yard_interval: float
    call_yard: Ask
    propose: Propose
    # "fence": make the yard refuse older tokens
    # "found": report the orders of the site's coordinators, as listed by the yard, to the group
    # "run": keep the wanted servers running
    phase: str = "fence"
    books: dm.Books | None = None
    read_number: int = 0  # number of the newest request for books
    min_read_number: int = 0  # first request whose answer reflects all of this owner's changes
    listing: SiteListing | None = None
    pending_orders: dict[str, PendingOrder] = field(default_factory=dict)
    last_order_number: int = 0
    next_step_at: float = 0.0
    stale: bool = False  # the yard or the group has refused the token
    asking: bool = False  # a listing, or the report of found orders, is not yet answered
    # by kind, proposed to the group and not yet answered
    proposed_counts: dict[str, int] = field(default_factory=dict)
    # total of ended servers reported to the group, by kind
    reported_ended: dict[str, int] = field(default_factory=dict)
    retire_after: float = 0.0  # seconds for which servers must be surplus; 0: never retired
    all_agents_heard: Callable[[float], bool] = lambda now: True  # whether the demand of every agent is known
    # by kind: since when, and the minimum since then
    surplus: dict[str, tuple[float, int]] = field(default_factory=dict)

    def step(self, now: float, site_beat: dm.SiteBeat | None, out: Effects) -> bool:
        """Run what is due. Returns True if the group's books should be requested."""
        for pending_order in self.pending_orders.values():
            pending_order.overdue(now)
            if request := pending_order.step(now):
                self.call_yard(
                    request,
                    lambda at, answer, o, e=pending_order: self._order_answered(at, e, answer, o),  # type: ignore[misc]
                    out,
                )
        if now < self.next_step_at or self.asking:
            return False
        self.next_step_at = now + self.yard_interval
        match self.phase:
            case "fence":
                self._list(now, "PUT", f"/sites/{self.site}/fence", site_beat, out)
            case "found":
                self._found(now, site_beat, out)
            case "run":
                if self.books is not None:
                    self._order_missing(now, out)
                self._list(now, "GET", f"/sites/{self.site}", site_beat, out)
                return True
        return False

    def _list(self, now: float, method: str, path: str, site_beat: dm.SiteBeat | None, out: Effects) -> None:
        def on_listed(at: float, answer: Answer, o: Effects) -> None:
            self.asking = False
            self.next_step_at = at + self.yard_interval  # answered: replaces the timeout set below
            if answer.status == STATUS_STALE_TOKEN:
                self.stale = True
            if answer.status != 200:
                return
            try:
                self.listing = msgspec.json.decode(answer.body, type=SiteListing)
            except msgspec.MsgspecError:
                return  # malformed answer: listed again
            if self.phase == "fence":
                self.phase = "found"
                self._found(at, site_beat, o)
            self._report_ended(at, o)

        self.asking = True
        self.next_step_at = now + ANSWER_TIMEOUT_S
        self.call_yard(Request(method, path, self.token), on_listed, out)  # type: ignore[arg-type]

    def _found(self, now: float, site_beat: dm.SiteBeat | None, out: Effects) -> None:
        """Report the orders of the site's coordinators to the group, as listed by the yard.

        The list is complete: the yard has refused older tokens since before it answered.
        """
        if self.listing is None or site_beat is None:
            return
        acts = [
            cm.Act(o.id, "order", o.kind, o.count, o.started)
            for o in self.listing.orders
            if Token.parse(o.token).term > 0  # issued by the site, not by the group
        ]
        pieces = [acts[i : i + cm.MAX_ACTS] for i in range(0, len(acts), cm.MAX_ACTS)] or [[]]

        def on_found_answered(at: float, result: cm.Result, o: Effects) -> None:
            self.asking = False
            if result.ok and not pieces:
                self.phase, self.next_step_at = "run", at
            elif result.ok:
                send_next_piece(at, o)
            else:
                self.stale = True

        def send_next_piece(at: float, o: Effects) -> None:
            piece = pieces.pop(0)
            last = not pieces
            command = cm.Found(duty_of(self.site), self.token, piece, site_beat.spent if last else 0, last)
            self.asking = self.propose(at, command, on_found_answered, o)

        send_next_piece(now, out)

    def _report_ended(self, now: float, out: Effects) -> None:
        for kind, total in (self.listing.ended if self.listing else {}).items():
            if total > self.reported_ended.get(kind, 0) and self.phase == "run":
                self.reported_ended[kind] = total
                self.propose(now, cm.Ended(duty_of(self.site), self.token, kind, total), lambda *_: None, out)

    def receive_books(self, books: dm.Books, now: float, out: Effects) -> None:
        """Take the group's books and continue all open orders, also those of earlier owners.

        Books requested before this owner's last change are ignored: they lack that change, and what was
        done would be ordered again.
        """
        if books.number < self.min_read_number:
            return
        self.books = books
        for name, order in books.orders.items():
            if order.open and name not in self.pending_orders:
                self.pending_orders[name] = PendingOrder(self.site, name, order.kind, order.count, self.token)

    def _order_missing(self, now: float, out: Effects) -> None:
        """Order missing servers, counting those alive, on order or proposed; retire surplus ones."""
        assert self.books is not None
        for kind, count in self.wanted_servers(now, self.books.alive).items():
            pending_count = self.proposed_counts.get(kind, 0) + sum(
                pending_order.count
                for pending_order in self.pending_orders.values()
                if pending_order.kind == kind and not pending_order.final
            )
            pending_count += sum(
                order.count
                for name, order in self.books.orders.items()
                if order.kind == kind and name not in self.pending_orders
            )
            missing = count - self.books.alive.get(kind, 0) - pending_count
            missing = min(missing, self.books.room) if missing > 0 else missing
            if missing <= 0:
                missing = -self._surplus_to_retire(now, kind, -missing if pending_count == 0 else 0)
            if missing:
                self.last_order_number += 1
                self._propose_order(now, f"{self.token}-{self.last_order_number}", kind, missing, out)

    def _surplus_to_retire(self, now: float, kind: str, surplus_count: int) -> int:
        """Return how many servers to retire: the minimum surplus over `retire_after`, all agents being heard."""
        since, min_surplus = self.surplus.get(kind, (now, surplus_count))
        if not (surplus_count and self.retire_after and self.all_agents_heard(now)):
            self.surplus.pop(kind, None)
            return 0
        self.surplus[kind] = since, min(min_surplus, surplus_count)
        if now - since < self.retire_after:
            return 0
        del self.surplus[kind]
        return min(min_surplus, surplus_count)

    def _propose_order(self, now: float, name: str, kind: str, count: int, out: Effects) -> None:
        self.proposed_counts[kind] = self.proposed_counts.get(kind, 0) + count

        def on_order_answered(at: float, result: cm.Result, o: Effects) -> None:
            self.proposed_counts[kind] -= count
            self._invalidate_books()
            if result.ok:
                self.pending_orders[name] = PendingOrder(self.site, name, kind, count, self.token)

        self.propose(now, cm.Order(duty_of(self.site), self.token, name, kind, count), on_order_answered, out)

    def _invalidate_books(self) -> None:
        self.books, self.min_read_number = None, self.read_number + 1

    def _order_answered(self, now: float, pending_order: PendingOrder, answer: Answer, out: Effects) -> None:
        pending_order.answer(now, answer)
        self.stale = self.stale or pending_order.stale
        if not pending_order.final:
            return

        def on_settled(at: float, result: cm.Result, o: Effects) -> None:
            self.pending_orders.pop(pending_order.id, None)
            self._invalidate_books()

        self.propose(
            now,
            cm.Settle(duty_of(self.site), self.token, pending_order.id, pending_order.started, True),
            on_settled,
            out,
        )
