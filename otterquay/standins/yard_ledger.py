"""The place that starts and retires servers, without I/O: what it holds, what it refuses, what it wrote down.

It keeps the highest token seen for each site and refuses lower ones (409, naming the newest), knows an order by its
Idempotency-Key (draft-ietf-httpapi-idempotency-key-header) and answers a repeat with how far that order is, and
honours If-Match (RFC 9110 section 13.1.1) with 412. It is a stand-in: it judges nobody.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from otterquay.duties.errand import Answer, Listed, Ordered, Request, Wanted
from otterquay.duties.token import NONE, Token


@dataclass(frozen=True, slots=True)
class Effect:
    """What a request came to: "started" so many servers, "fenced", "repeated", "cancelled", "stale", "refused"."""

    at: float
    agent: int
    site: str
    token: Token
    what: str
    order: str = ""
    count: int = 0


@dataclass(slots=True)
class SiteLedger:
    """One site: its newest token, its orders and servers."""

    fence: Token = NONE
    orders: dict[str, Ordered] = field(default_factory=dict)
    first: dict[str, Token] = field(default_factory=dict)  # by whose token an order was first taken
    alive: dict[str, int] = field(default_factory=dict)
    ended: dict[str, int] = field(default_factory=dict)
    version: int = 0


@dataclass(slots=True)
class YardLedger:
    """All sites. `half`: the share of orders of which only a part is started at a time."""

    rng: random.Random
    half: float = 0.0
    fencing: bool = True  # off: the mutant that lets late owners in
    remembers: bool = True  # off: the mutant that does an order again
    sites: dict[str, SiteLedger] = field(default_factory=dict)
    tape: list[Effect] = field(default_factory=list)
    watch: Callable[[Effect], None] = lambda effect: None

    def site(self, name: str) -> SiteLedger:
        """A site's book."""
        return self.sites.setdefault(name, SiteLedger())

    def _note(self, at: float, agent: int, site: str, request: Request, what: str, count: int = 0) -> None:
        effect = Effect(at, agent, site, request.token, what, request.key, count)
        self.tape.append(effect)
        self.watch(effect)

    def end(self, site: str, kind: str, count: int) -> int:
        """Servers end by themselves; how many did."""
        book = self.site(site)
        count = min(count, book.alive.get(kind, 0))
        book.alive[kind] = book.alive.get(kind, 0) - count
        book.ended[kind] = book.ended.get(kind, 0) + count
        book.version += 1
        return count

    def answer(self, at: float, agent: int, request: Request) -> Answer:
        """One request."""
        parts = request.path.strip("/").split("/")
        if len(parts) < 2 or parts[0] != "sites":
            return Answer(404)
        name, rest = parts[1], parts[2:]
        book = self.site(name)
        if request.method == "GET" and not rest:
            return self._list(book)
        if self.fencing and request.token < book.fence:
            self._note(at, agent, name, request, "stale")
            return Answer(409, str(book.fence))
        if request.method == "PUT" and rest == ["fence"]:
            if request.token > book.fence:
                book.fence = request.token
                self._note(at, agent, name, request, "fenced")
            return self._list(book)
        if request.method == "POST" and rest == ["orders"]:
            return self._order(at, agent, name, book, request)
        if request.method == "DELETE" and len(rest) == 2:
            return self._cancel(at, agent, name, book, request, rest[1])
        return Answer(404)

    def _list(self, book: SiteLedger) -> Answer:
        listed = Listed(
            [msgspec.structs.replace(o, token=str(book.first[o.id])) for o in book.orders.values()],
            dict(book.alive),
            dict(book.ended),
            str(book.fence),
        )
        return Answer(200, f'"{book.version}"', msgspec.json.encode(listed))

    def _order(self, at: float, agent: int, name: str, book: SiteLedger, request: Request) -> Answer:
        try:
            wanted: Wanted = msgspec.json.decode(request.body, type=Wanted)
        except msgspec.MsgspecError:
            self._note(at, agent, name, request, "refused")
            return Answer(400)
        if not request.key or abs(wanted.count) > 1024 or wanted.count == 0:
            self._note(at, agent, name, request, "refused")
            return Answer(422)
        book.fence = max(book.fence, request.token)
        known = book.orders.get(request.key)
        if known and (known.kind, known.count) != (wanted.kind, wanted.count):
            return Answer(422)
        if known is None or not self.remembers:
            known = Ordered(request.key, wanted.kind, wanted.count, 0, str(request.token))
            book.first.setdefault(request.key, request.token)
        else:
            self._note(at, agent, name, request, "repeated")
        left = 0 if known.cancelled else known.count - known.started
        step = left
        if left > 1 and self.rng.random() < self.half:
            step = self.rng.randint(0, left - 1)
        if step < 0:
            step = -min(-step, book.alive.get(known.kind, 0))
        book.alive[known.kind] = book.alive.get(known.kind, 0) + step
        book.orders[request.key] = known = msgspec.structs.replace(known, started=known.started + step)
        if step:
            book.version += 1
            self._note(at, agent, name, request, "started", step)
        status = 201 if known.started == known.count else 202
        return Answer(status, f'"{known.started}"', msgspec.json.encode(known))

    def _cancel(self, at: float, agent: int, name: str, book: SiteLedger, request: Request, order: str) -> Answer:
        known = book.orders.get(order)
        if known is None:
            return Answer(404)
        if request.match and request.match != f'"{known.started}"':
            return Answer(412)
        book.fence = max(book.fence, request.token)
        book.orders[order] = known = msgspec.structs.replace(known, cancelled=True)
        book.version += 1
        self._note(at, agent, name, request, "cancelled")
        return Answer(200, f'"{known.started}"', msgspec.json.encode(known))
