"""A site coordinator's work with the yard, and the handover of its journals to the group."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties.calls import Ask, Propose
from otterquay.duties.token import Token
from otterquay.duties.yard_orders import (
    ANSWER_TIMEOUT_S,
    STATUS_STALE_TOKEN,
    Answer,
    PendingOrder,
    Request,
    SiteListing,
)
from otterquay.sites.site import Site


@dataclass(slots=True)
class SiteCoordinator:
    """Orders servers for the site while this agent is its acting coordinator; idle otherwise."""

    name: str  # of the site
    site: Site
    # of the time and the servers alive by kind
    wanted_servers: Callable[[float, Mapping[str, int]], Mapping[str, int]]
    yard_interval: float
    call_yard: Ask
    # by id: the order, the number of its journal entry, and the act stored there
    pending_orders: dict[str, tuple[PendingOrder, int, cm.Act]] = field(default_factory=dict)
    token: Token = field(default_factory=Token)
    listing: SiteListing | None = None
    next_listing_at: float = 0.0
    listing_deadline: float = 0.0
    listing_sent_at: float = 0.0
    last_order_change_at: float = 0.0  # when an order was last placed or ended; older listings may lack it

    def step(self, now: float, out: Effects) -> None:
        """Run what is due. Work of an earlier term is dropped; its journal records it."""
        site = self.site
        if not site.acting:
            self.pending_orders.clear()
            self.listing = None
            return
        if site.token != self.token:
            self.token, self.listing, self.next_listing_at = site.token, None, now
            self.pending_orders.clear()
        for token, entry, act in site.ready:
            sent_act = msgspec.structs.replace(act, sent=True)
            site.journal.update(token, entry, sent_act, out)
            self.pending_orders[act.id] = (
                PendingOrder(self.name, act.id, act.kind, act.count, token),
                entry,
                sent_act,
            )
        site.ready.clear()
        for pending_order, entry, act in list(self.pending_orders.values()):
            pending_order.overdue(now)
            if request := pending_order.step(now):
                self.call_yard(request, self._order_answered(pending_order, entry, act), out)
        for build in site.builds_voted_back():
            site.lower_cap(now, build, 0.0, out)
        if now >= self.next_listing_at and now >= self.listing_deadline:
            self._order(now, out)
            self.next_listing_at, self.listing_deadline, self.listing_sent_at = (
                now + self.yard_interval,
                now + ANSWER_TIMEOUT_S,
                now,
            )
            self.call_yard(Request("GET", f"/sites/{self.name}", self.token), self._handle_listing, out)

    def _handle_listing(self, now: float, answer: Answer, out: Effects) -> None:
        self.listing_deadline = now
        self._handle_stale(now, answer, out)
        if answer.status == 200 and self.listing_sent_at > self.last_order_change_at:
            try:
                self.listing = msgspec.json.decode(answer.body, type=SiteListing)
            except msgspec.MsgspecError:
                self.listing = None

    def _handle_stale(self, now: float, answer: Answer, out: Effects) -> None:
        if answer.status != STATUS_STALE_TOKEN or not self.site.acting:
            return
        newest = Token.parse(answer.etag) if answer.etag else self.token
        self.site.learn_token(newest, out)
        self.site.stop(now, "the yard has a newer token", out)

    def _order(self, now: float, out: Effects) -> None:
        """Order the missing servers within the allowance, given a listing from the yard."""
        if self.listing is None:
            return
        for kind, count in self.wanted_servers(now, self.listing.alive).items():
            known = {o.id for o in self.listing.orders}
            pending_count = sum(
                o.count - o.started
                for o in self.listing.orders
                if o.kind == kind and not o.cancelled and o.count > o.started
            )
            pending_count += sum(
                pending.count
                for pending, _, _ in self.pending_orders.values()
                if pending.kind == kind and pending.id not in known
            )
            pending_count += sum(reserve.act.count for reserve in self.site.reserves if reserve.act.kind == kind)
            missing = count - self.listing.alive.get(kind, 0) - pending_count
            missing = min(missing, self.site.stored.allowed - self.site.stored.spent)
            if missing > 0:
                self.site.order(now, kind, missing, out)
                self.last_order_change_at = now
        self.listing = None  # outdated by the orders just placed

    def _order_answered(
        self, pending_order: PendingOrder, entry: int, act: cm.Act
    ) -> Callable[[float, Answer, Effects], None]:
        def answered(now: float, answer: Answer, out: Effects) -> None:
            pending_order.answer(now, answer)
            self.site.journal.update(
                pending_order.token, entry, msgspec.structs.replace(act, started=pending_order.started), out
            )
            if pending_order.stale:
                self._handle_stale(now, answer, out)
            if pending_order.final:
                self.last_order_change_at = now
                self.pending_orders.pop(pending_order.id, None)

        return answered


@dataclass(slots=True)
class JournalHandover:
    """Hands over this agent's journals one by one; the group applies a repeated piece only once."""

    name: str  # of the site
    site: Site
    propose: Propose
    busy: bool = False  # a piece is proposed and not yet answered

    def step(self, now: float, out: Effects) -> None:
        """Hand over the next journal of an ended term, while the group is reachable."""
        if self.busy or self.site.group_lost(now):
            return
        ended_tokens = [t for t in sorted(self.site.journal.acts) if t != self.site.token]
        if ended_tokens:
            self._send_pieces(now, ended_tokens[0], self.site.journal.pieces(ended_tokens[0]), out)

    def _send_pieces(self, now: float, token: Token, pieces: list[list[cm.Act]], out: Effects) -> None:
        chunk, remaining = pieces[0], pieces[1:]

        def handed_over(at: float, result: cm.Result, o: Effects) -> None:
            self.busy = False
            if not result.ok:
                o.log("journal_not_taken", token=str(token), reason=result.reason)
            elif remaining:
                self._send_pieces(at, token, remaining, o)
            else:
                self.site.journal.remove(token, o)

        self.busy = self.propose(now, cm.Handover(self.name, token, chunk, not remaining), handed_over, out)
