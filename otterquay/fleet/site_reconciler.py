"""The work of `capacity/SITE`: settle with the yard what came before, then see that the servers wanted are there.

Orders are in the group's state before they go to the yard, under ids of their own; whoever owns the duty next finds
them there and finishes them under the same ids.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from otterquay.cores.out import Out
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.calls import Ask, Propose
from otterquay.duties.errand import STALE, WAIT_S, Answer, Errand, Listed, Request
from otterquay.duties.token import Token, duty_of


@dataclass(slots=True)
class SiteReconciler:
    """One ownership; it ends with its token."""

    site: str
    token: Token
    want: Callable[[float, Mapping[str, int]], Mapping[str, int]]  # now, and what is alive by kind
    every: float
    ask: Ask
    propose: Propose
    phase: str = "fence"
    books: dm.Books | None = None
    reads: int = 0  # the number of the newest question for them
    least: int = 0  # the first whose answer knows of all that this owner has done
    listed: Listed | None = None
    errands: dict[str, Errand] = field(default_factory=dict)
    numbers: int = 0
    next_at: float = 0.0
    stale: bool = False
    asking: bool = False
    proposed_counts: dict[str, int] = field(
        default_factory=dict
    )  # by kind, asked of the group and not yet answered
    told: dict[str, int] = field(default_factory=dict)  # of ended servers, by kind
    retire: float = 0.0  # seconds for which servers have to be too many; 0: never retired
    sees_all: Callable[[float], bool] = lambda now: True  # whether no agent's demand can be missing from `want`
    surplus: dict[str, tuple[float, int]] = field(default_factory=dict)  # since when, and the least meanwhile

    def step(self, now: float, beat: dm.SiteBeat | None, out: Out) -> bool:
        """Go on; True when the group's books should be asked for."""
        for errand in self.errands.values():
            errand.overdue(now)
            if request := errand.step(now):
                self.ask(request, lambda at, answer, o, e=errand: self._ordered(at, e, answer, o), out)  # type: ignore[misc]
        if now < self.next_at or self.asking:
            return False
        self.next_at = now + self.every
        match self.phase:
            case "fence":
                self._list(now, "PUT", f"/sites/{self.site}/fence", beat, out)
            case "found":
                self._found(now, beat, out)
            case "run":
                if self.books is not None:
                    self._order(now, out)
                self._list(now, "GET", f"/sites/{self.site}", beat, out)
                return True
        return False

    def _list(self, now: float, method: str, path: str, beat: dm.SiteBeat | None, out: Out) -> None:
        def listed(at: float, answer: Answer, o: Out) -> None:
            self.asking = False
            self.next_at = at + self.every  # answered: the wait was for an answer that does not come
            if answer.status == STALE:
                self.stale = True
            if answer.status != 200:
                return
            try:
                self.listed = msgspec.json.decode(answer.body, type=Listed)
            except msgspec.MsgspecError:
                return  # spoilt: asked again
            if self.phase == "fence":
                self.phase = "found"
                self._found(at, beat, o)
            self._ended(at, o)

        self.asking = True
        self.next_at = now + WAIT_S
        self.ask(Request(method, path, self.token), listed, out)  # type: ignore[arg-type]

    def _found(self, now: float, beat: dm.SiteBeat | None, out: Out) -> None:
        """All older tokens are refused by now: the list holds whatever they did."""
        if self.listed is None or beat is None:
            return
        acts = [
            cm.Act(o.id, "order", o.kind, o.count, o.started)
            for o in self.listed.orders
            if Token.parse(o.token).term > 0
        ]
        pieces = [acts[i : i + cm.ACTS_MOST] for i in range(0, len(acts), cm.ACTS_MOST)] or [[]]

        def done(at: float, result: cm.Result, o: Out) -> None:
            self.asking = False
            if result.ok and not pieces:
                self.phase, self.next_at = "run", at
            elif result.ok:
                following(at, o)
            else:
                self.stale = True

        def following(at: float, o: Out) -> None:
            piece = pieces.pop(0)
            last = not pieces
            command = cm.Found(duty_of(self.site), self.token, piece, beat.spent if last else 0, last)
            self.asking = self.propose(at, command, done, o)

        following(now, out)

    def _ended(self, now: float, out: Out) -> None:
        for kind, total in (self.listed.ended if self.listed else {}).items():
            if total > self.told.get(kind, 0) and self.phase == "run":
                self.told[kind] = total
                self.propose(now, cm.Ended(duty_of(self.site), self.token, kind, total), lambda *_: None, out)

    def booked(self, books: dm.Books, now: float, out: Out) -> None:
        """The group's books: open orders are carried on, whoever wrote them.

        An answer to what was asked before this owner's last change is late: it would have what was done ordered
        again.
        """
        if books.number < self.least:
            return
        self.books = books
        for name, order in books.orders.items():
            if order.open and name not in self.errands:
                self.errands[name] = Errand(self.site, name, order.kind, order.count, self.token)

    def _order(self, now: float, out: Out) -> None:
        """Order what is missing: what is alive, on order, or asked for already is not ordered again."""
        assert self.books is not None
        for kind, count in self.want(now, self.books.alive).items():
            coming = self.proposed_counts.get(kind, 0) + sum(
                e.count for e in self.errands.values() if e.kind == kind and not e.final
            )
            coming += sum(o.count for n, o in self.books.orders.items() if o.kind == kind and n not in self.errands)
            missing = count - self.books.alive.get(kind, 0) - coming
            missing = min(missing, self.books.room) if missing > 0 else missing
            if missing <= 0:
                missing = -self._too_many(now, kind, -missing if coming == 0 else 0)
            if missing:
                self.numbers += 1
                self._propose_order(now, f"{self.token}-{self.numbers}", kind, missing, out)

    def _too_many(self, now: float, kind: str, more: int) -> int:
        """How many to retire now: the least that were too many for all of `retire`, with all agents heard."""
        since, least = self.surplus.get(kind, (now, more))
        if not (more and self.retire and self.sees_all(now)):
            self.surplus.pop(kind, None)
            return 0
        self.surplus[kind] = since, min(least, more)
        if now - since < self.retire:
            return 0
        del self.surplus[kind]
        return min(least, more)

    def _propose_order(self, now: float, name: str, kind: str, count: int, out: Out) -> None:
        self.proposed_counts[kind] = self.proposed_counts.get(kind, 0) + count

        def written(at: float, result: cm.Result, o: Out) -> None:
            self.proposed_counts[kind] -= count
            self._changed()
            if result.ok:
                self.errands[name] = Errand(self.site, name, kind, count, self.token)

        self.propose(now, cm.Order(duty_of(self.site), self.token, name, kind, count), written, out)

    def _changed(self) -> None:
        self.books, self.least = None, self.reads + 1

    def _ordered(self, now: float, errand: Errand, answer: Answer, out: Out) -> None:
        errand.answer(now, answer)
        self.stale = self.stale or errand.stale
        if not errand.final:
            return

        def settled(at: float, result: cm.Result, o: Out) -> None:
            self.errands.pop(errand.id, None)
            self._changed()

        self.propose(now, cm.Settle(duty_of(self.site), self.token, errand.id, errand.started, True), settled, out)
