"""The yard, which starts and retires servers, as a state machine without I/O.

It keeps the highest token seen for each site and refuses lower ones (409, naming the newest), knows an order by its
Idempotency-Key (draft-ietf-httpapi-idempotency-key-header) and answers a repeat with how far that order is, and
honours If-Match (RFC 9110 section 13.1.1) with 412. It records effects and leaves their check to the judge.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from otterquay.duties.token import NONE, Token
from otterquay.duties.yard_orders import Answer, OrderBody, Request, SiteListing, YardOrder


@dataclass(frozen=True, slots=True)
class Effect:
    """What a request did: `count` servers "started", "fenced", "repeated", "cancelled", "stale" or "refused"."""

    at: float
    agent: int
    site: str
    token: Token
    what: str
    order: str = ""
    count: int = 0


@dataclass(slots=True)
class SiteLedger:
    """One site: its highest token, its orders and servers."""

    fence: Token = NONE
    orders: dict[str, YardOrder] = field(default_factory=dict)
    first: dict[str, Token] = field(default_factory=dict)  # by order: the token under which it was first accepted
    alive: dict[str, int] = field(default_factory=dict)
    ended: dict[str, int] = field(default_factory=dict)
    version: int = 0


@dataclass(slots=True)
class YardLedger:
    """All sites. `half` is the share of orders that are executed only in part at a time."""

    rng: random.Random
    half: float = 0.0
    fencing: bool = True  # False in a mutant that accepts stale tokens
    deduplicates: bool = True  # False in a mutant that executes a repeated order again
    sites: dict[str, SiteLedger] = field(default_factory=dict)
    tape: list[Effect] = field(default_factory=list)
    on_effect: Callable[[Effect], None] = lambda effect: None

    def site(self, name: str) -> SiteLedger:
        """The ledger of a site, created on first use."""
        return self.sites.setdefault(name, SiteLedger())

    def _note(self, at: float, agent: int, site: str, request: Request, what: str, count: int = 0) -> None:
        effect = Effect(at, agent, site, request.token, what, request.key, count)
        self.tape.append(effect)
        self.on_effect(effect)

    def end(self, site: str, kind: str, count: int) -> int:
        """End up to `count` running servers; returns how many were ended."""
        ledger = self.site(site)
        count = min(count, ledger.alive.get(kind, 0))
        ledger.alive[kind] = ledger.alive.get(kind, 0) - count
        ledger.ended[kind] = ledger.ended.get(kind, 0) + count
        ledger.version += 1
        return count

    def answer(self, at: float, agent: int, request: Request) -> Answer:
        """Handle one request."""
        parts = request.path.strip("/").split("/")
        if len(parts) < 2 or parts[0] != "sites":
            return Answer(404)
        name, rest = parts[1], parts[2:]
        ledger = self.site(name)
        if request.method == "GET" and not rest:
            return self._list(ledger)
        if self.fencing and request.token < ledger.fence:
            self._note(at, agent, name, request, "stale")
            return Answer(409, str(ledger.fence))
        if request.method == "PUT" and rest == ["fence"]:
            if request.token > ledger.fence:
                ledger.fence = request.token
                self._note(at, agent, name, request, "fenced")
            return self._list(ledger)
        if request.method == "POST" and rest == ["orders"]:
            return self._order(at, agent, name, ledger, request)
        if request.method == "DELETE" and len(rest) == 2:
            return self._cancel(at, agent, name, ledger, request, rest[1])
        return Answer(404)

    def _list(self, ledger: SiteLedger) -> Answer:
        listed = SiteListing(
            [msgspec.structs.replace(o, token=str(ledger.first[o.id])) for o in ledger.orders.values()],
            dict(ledger.alive),
            dict(ledger.ended),
            str(ledger.fence),
        )
        return Answer(200, f'"{ledger.version}"', msgspec.json.encode(listed))

    def _order(self, at: float, agent: int, name: str, ledger: SiteLedger, request: Request) -> Answer:
        try:
            wanted: OrderBody = msgspec.json.decode(request.body, type=OrderBody)
        except msgspec.MsgspecError:
            self._note(at, agent, name, request, "refused")
            return Answer(400)
        if not request.key or abs(wanted.count) > 1024 or wanted.count == 0:
            self._note(at, agent, name, request, "refused")
            return Answer(422)
        ledger.fence = max(ledger.fence, request.token)
        known = ledger.orders.get(request.key)
        if known and (known.kind, known.count) != (wanted.kind, wanted.count):
            return Answer(422)
        if known is None or not self.deduplicates:
            known = YardOrder(request.key, wanted.kind, wanted.count, 0, str(request.token))
            ledger.first.setdefault(request.key, request.token)
        else:
            self._note(at, agent, name, request, "repeated")
        left = 0 if known.cancelled else known.count - known.started
        step = left
        if left > 1 and self.rng.random() < self.half:
            step = self.rng.randint(0, left - 1)
        if step < 0:
            step = -min(-step, ledger.alive.get(known.kind, 0))
        ledger.alive[known.kind] = ledger.alive.get(known.kind, 0) + step
        ledger.orders[request.key] = known = msgspec.structs.replace(known, started=known.started + step)
        if step:
            ledger.version += 1
            self._note(at, agent, name, request, "started", step)
        status = 201 if known.started == known.count else 202
        return Answer(status, f'"{known.started}"', msgspec.json.encode(known))

    def _cancel(self, at: float, agent: int, name: str, ledger: SiteLedger, request: Request, order: str) -> Answer:
        known = ledger.orders.get(order)
        if known is None:
            return Answer(404)
        if request.match and request.match != f'"{known.started}"':
            return Answer(412)
        ledger.fence = max(ledger.fence, request.token)
        ledger.orders[order] = known = msgspec.structs.replace(known, cancelled=True)
        ledger.version += 1
        self._note(at, agent, name, request, "cancelled")
        return Answer(200, f'"{known.started}"', msgspec.json.encode(known))
