"""What a site's coordinator does with the yard, and how journals go back to the group."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from otterquay.cores.out import Out
from otterquay.duties import commands as cm
from otterquay.duties.calls import Ask, Propose
from otterquay.duties.errand import STALE, WAIT_S, Answer, Errand, Listed, Request
from otterquay.duties.token import Token
from otterquay.sites.site import Site


@dataclass(slots=True)
class Coordinating:
    """The work of one agent's terms as coordinator; nothing of it runs while the site does not act."""

    name: str
    site: Site
    want: Callable[[float, Mapping[str, int]], Mapping[str, int]]
    every: float
    ask: Ask
    errands: dict[str, tuple[Errand, int, cm.Act]] = field(default_factory=dict)
    token: Token = field(default_factory=Token)
    listed: Listed | None = None
    next_at: float = 0.0
    asking_until: float = 0.0
    asked_at: float = 0.0
    changed_at: float = 0.0  # when an order of ours was last placed or ended: an older list does not show it

    def step(self, now: float, out: Out) -> None:
        """Go on, or forget what an earlier term had under way: its journal has it."""
        site = self.site
        if not site.acting:
            self.errands.clear()
            self.listed = None
            return
        if site.token != self.token:
            self.token, self.listed, self.next_at = site.token, None, now
            self.errands.clear()
        for token, entry, act in site.ready:
            sent = msgspec.structs.replace(act, sent=True)
            site.journal.update(token, entry, sent, out)
            self.errands[act.id] = (Errand(self.name, act.id, act.kind, act.count, token), entry, sent)
        site.ready.clear()
        for errand, entry, act in list(self.errands.values()):
            errand.overdue(now)
            if request := errand.step(now):
                self.ask(request, self._done(errand, entry, act), out)
        for build in site.given_up():
            site.lower(now, build, 0.0, out)
        if now >= self.next_at and now >= self.asking_until:
            self._order(now, out)
            self.next_at, self.asking_until, self.asked_at = now + self.every, now + WAIT_S, now
            self.ask(Request("GET", f"/sites/{self.name}", self.token), self._told, out)

    def _told(self, now: float, answer: Answer, out: Out) -> None:
        self.asking_until = now
        self._stale(now, answer, out)
        if answer.status == 200 and self.asked_at > self.changed_at:
            try:
                self.listed = msgspec.json.decode(answer.body, type=Listed)
            except msgspec.MsgspecError:
                self.listed = None

    def _stale(self, now: float, answer: Answer, out: Out) -> None:
        if answer.status != STALE or not self.site.acting:
            return
        newest = Token.parse(answer.etag) if answer.etag else self.token
        kept = self.site.stored
        if newest > kept.newest:
            kept.newest, kept.voted = newest, None
        self.site.stop(now, "the yard knows a newer token", out)

    def _order(self, now: float, out: Out) -> None:
        """What is missing, out of the allowance: once the yard has told what there is."""
        if self.listed is None:
            return
        for kind, count in self.want(now, self.listed.alive).items():
            known = {o.id for o in self.listed.orders}
            coming = sum(
                o.count - o.started
                for o in self.listed.orders
                if o.kind == kind and not o.cancelled and o.count > o.started
            )
            coming += sum(e.count for e, _, _ in self.errands.values() if e.kind == kind and e.id not in known)
            coming += sum(r.act.count for r in self.site.reserves if r.act.kind == kind)
            missing = count - self.listed.alive.get(kind, 0) - coming
            missing = min(missing, self.site.stored.allowed - self.site.stored.spent)
            if missing > 0:
                self.site.order(now, kind, missing, out)
                self.changed_at = now
        self.listed = None  # older than what was just asked for

    def _done(self, errand: Errand, entry: int, act: cm.Act) -> Callable[[float, Answer, Out], None]:
        def answered(now: float, answer: Answer, out: Out) -> None:
            errand.answer(now, answer)
            self.site.journal.update(errand.token, entry, msgspec.structs.replace(act, started=errand.started), out)
            if errand.stale:
                self._stale(now, answer, out)
            if errand.final:
                self.changed_at = now
                self.errands.pop(errand.id, None)

        return answered


@dataclass(slots=True)
class JournalHandover:
    """Journals that this agent still has, one after the other; a piece that is told twice is taken once."""

    name: str
    site: Site
    propose: Propose
    busy: bool = False

    def step(self, now: float, out: Out) -> None:
        """Hand over the next journal of a term that is over, while the group is heard."""
        if self.busy or self.site.group_lost(now):
            return
        over = [t for t in sorted(self.site.journal.acts) if t != self.site.token]
        if over:
            self._send_pieces(now, over[0], self.site.journal.pieces(over[0]), out)

    def _send_pieces(self, now: float, token: Token, pieces: list[list[cm.Act]], out: Out) -> None:
        piece, rest = pieces[0], pieces[1:]

        def taken(at: float, result: cm.Result, o: Out) -> None:
            self.busy = False
            if not result.ok:
                o.say("journal_not_taken", token=str(token), reason=result.reason)
            elif rest:
                self._send_pieces(at, token, rest, o)
            else:
                self.site.journal.drop(token, o)

        self.busy = self.propose(now, cm.Handover(self.name, token, piece, not rest), taken, out)
