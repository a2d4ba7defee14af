"""Judges one run by what crossed the wires and what the yard wrote down; what the nodes think of it is not
asked.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.spread.book import Assign, Looked
from otterquay.duties.state import Duties
from otterquay.duties.token import NONE, Token, duty_of
from otterquay.fleet import words
from otterquay.lab.fleetsim.reads import ReadChecker
from otterquay.runtimes import rows as rw
from otterquay.sites import messages as sm
from otterquay.standins.yard_ledger import Effect, YardLedger

SAFETY = (
    "two_owners",
    "late_harm",
    "tokens_back",
    "orders_lost",
    "orders_repeated",
    "over_allowance",
    "two_coordinators",
    "loosened",
    "acts_lost",
    "acts_twice",
    "counted_twice",
    "state_differs",
)


@dataclass(slots=True)
class Judge:
    """Counts of what must not be; every count has its first texts in `notes`."""

    bound: int
    counts: Counter[str] = field(default_factory=Counter)
    notes: list[str] = field(default_factory=list)
    grants: dict[Token, tuple[int, str]] = field(default_factory=dict)
    ordered: dict[str, str] = field(default_factory=dict)  # id, site: written down in the group, as its answer said
    asked: dict[tuple[int, int, int], cm.Command] = field(default_factory=dict)
    leads: dict[tuple[str, Token], int] = field(default_factory=dict)
    caps: dict[tuple[str, Token], tuple[int, dict[int, float]]] = field(default_factory=dict)
    rows: dict[rw.Key, set[tuple[int, int]]] = field(default_factory=dict)
    newest: dict[str, Token] = field(default_factory=dict)
    actor: dict[tuple[str, Token], int] = field(default_factory=dict)
    applied: dict[int, bytes] = field(default_factory=dict)
    tokens: set[int] = field(default_factory=set)
    held: dict[str, tuple[float, Token]] = field(default_factory=dict)  # by duty: when it was last granted
    sites: Mapping[int, str] = field(default_factory=dict)
    posts: dict[str, tuple[float, Token]] = field(default_factory=dict)  # when each was last assigned
    tellers: dict[tuple[str, Token], int] = field(default_factory=dict)
    reads: ReadChecker = field(default_factory=ReadChecker)
    sent: set[tuple[int, int, int]] = field(default_factory=set)
    moves: list[tuple[float, str, int | None]] = field(default_factory=list)  # posts that changed hands

    def fault(self, what: str, text: str) -> None:
        """One more."""
        self.counts[what] += 1
        if len(self.notes) < 40:
            self.notes.append(f"{what}: {text}")

    # --- the wires ---
    def crossed(self, at: float, sender: int, to: int, message: words.Message) -> None:
        """A message reached its receiver."""
        match message:
            case dm.Relayed():
                if message.to == to:
                    self.crossed(at, message.origin, to, words.decode(message.body))
            case dm.Propose():
                p = message.proposal
                self.asked[p.agent, p.life, p.number] = p.command
                if isinstance(p.command, Looked):
                    self._looked(at, p.agent, p.command)
            case dm.Done():
                command = self.asked.get((to, message.life, message.number))
                if message.result.ok:
                    self._done(at, to, command, message.result)
            case sm.Lead():
                self._lead(at, sender, message)
            case dm.Books():
                for text in self.reads.check_answer(at, to, message):
                    self.fault("stale_reads", text)
            case dm.Rows():
                self._rows(at, sender, message.rows)

    def _looked(self, at: float, agent: int, looked: Looked) -> None:
        for report in looked.reports:
            first = self.tellers.setdefault((report.post, report.token), agent)
            if first != agent:
                self.fault("two_owners", f"{at:.2f}: {report.post} {report.token}: {first}, {agent}")

    def message_sent(self, at: float, agent: int, message: words.Message, awake_since: float) -> None:
        """A message leaves a process that has been awake since then: what it tells of its posts, it must hold."""
        self.reads.message_sent(at, agent, message)
        if not isinstance(message, dm.Propose) or not isinstance(message.proposal.command, Looked):
            return
        p = message.proposal
        if (p.agent, p.life, p.number) in self.sent:
            return  # asked again: it was on its way before
        self.sent.add((p.agent, p.life, p.number))
        for report in message.proposal.command.reports:
            since, newest = self.posts.get(report.post, (0.0, NONE))
            if report.token < newest and awake_since < since - 1.0 and at > since + 0.05:
                self.fault(
                    "two_owners",
                    f"{at:.2f}: {agent} tells of {report.post} under {report.token}, "
                    f"{newest} was assigned at {since:.2f}",
                )

    def _assigned(self, at: float, index: int, assign: Assign, first: Token) -> None:
        number = first.group
        for move in assign.moves:
            self.moves.append((at, move.post, move.agent))
            if move.agent is None:
                continue
            if number <= max(self.tokens, default=0):
                self.fault("tokens_back", f"entry {index}: {number} after {max(self.tokens)}")
            self.tokens.add(number)
            self.posts[move.post] = at, Token(number)
            number += 1

    def _done(self, at: float, to: int, command: cm.Command | None, result: cm.Result) -> None:
        match command:
            case cm.Claim():
                was = self.grants.setdefault(result.token, (to, command.duty))
                if was != (to, command.duty):
                    self.fault("two_owners", f"{at:.2f}: token {result.token} to {was} and to {to}, {command.duty}")
            case cm.Order():
                self.ordered[command.id] = command.duty.partition("/")[2]
                self.reads.order_recorded(at, command)
            case cm.Settle():
                self.reads.order_settled(at, command)
            case cm.Allot():
                self.reads.allotment_recorded(at, command)

    def _lead(self, at: float, sender: int, lead: sm.Lead) -> None:
        key = (self.sites[sender], lead.token)
        first = self.leads.setdefault(key, sender)
        if first != sender:
            self.fault("two_coordinators", f"{at:.2f}: {key[0]} {lead.token} is led by {first} and {sender}")
        number, held = self.caps.get(key, (0, {}))
        if lead.number <= number:
            return  # late or repeated: it tells what was
        for build, cap in held.items():
            if lead.caps.get(build, 1.0) > cap:
                self.fault(
                    "loosened",
                    f"{at:.2f}: {key[0]} {lead.token}: build {build} from {cap} to {lead.caps.get(build, 1.0)}",
                )
        self.caps[key] = lead.number, dict(lead.caps)

    def _rows(self, at: float, sender: int, data: bytes) -> None:
        """What counts once grows under one version after the other; anything else would be counted again, or
        lost.
        """
        try:
            told = rw.decode(data)
        except ValueError:
            return
        for key, row in told:
            if key.agent != sender:
                continue
            seen = sum(row.exact.values()) + sum(row.most.values()) + sum(row.least.values())
            for version, count in self.rows.get(key, ()):
                if (version == row.version) != (count == seen) or (version < row.version) != (count < seen):
                    self.fault(
                        "counted_twice", f"{at:.2f}: {key}: {seen} at version {row.version}, {count} at {version}"
                    )
            self.rows[key] = {(row.version, seen), *sorted(self.rows.get(key, ()))[-2:]}

    # --- the yard ---
    def effect(self, effect: Effect) -> None:
        """The yard did something."""
        if effect.what not in ("started", "cancelled", "fenced"):
            return
        newest = self.newest.get(effect.site, NONE)
        if effect.token < newest:
            self.fault(
                "late_harm",
                f"{effect.at:.2f}: {effect.what} at {effect.site} by {effect.agent} under "
                f"{effect.token} after {newest}",
            )
        self.newest[effect.site] = max(newest, effect.token)
        first = self.actor.setdefault((effect.site, effect.token), effect.agent)
        if first != effect.agent:
            self.fault("two_owners", f"{effect.at:.2f}: {effect.site} {effect.token}: {first}, {effect.agent}")

    def running(self, at: float, yard: YardLedger) -> None:
        """At any moment: servers that run, over all sites."""
        alive = sum(sum(b.alive.values()) for b in yard.sites.values())
        if alive > self.bound:
            self.fault("over_allowance", f"{at:.2f}: {alive} servers run, {self.bound} may")

    def committed(self, at: float, index: int, data: bytes, member: int, result: object) -> None:
        """A member has applied an entry: all must apply the same, and what is granted only rises."""
        first = index not in self.applied
        if self.applied.setdefault(index, data) != data:
            self.fault("state_differs", f"entry {index} at member {member}")
        if not first or not data or not isinstance(result, cm.Result) or not result.ok:
            return
        command = cm.decode(data).command
        if isinstance(command, cm.Claim) and result.token.group not in self.tokens:
            if result.token.group <= max(self.tokens, default=0):
                self.fault("tokens_back", f"entry {index}: {result.token} after {max(self.tokens)}")
            self.tokens.add(result.token.group)
            self.held[command.duty] = (at, result.token)
        elif isinstance(command, Assign):
            self._assigned(at, index, command, result.token)
        elif isinstance(command, Looked):
            for report in command.reports:
                if report.token < (newest := self.posts.get(report.post, (0.0, NONE))[1]):
                    self.fault("late_harm", f"entry {index}: {report.post} under {report.token} after {newest}")
        elif isinstance(command, cm.Order | cm.Settle | cm.Ended | cm.Renew | cm.Found):
            newest = self.held.get(command.duty, (0.0, NONE))[1]
            if command.token < newest and result.reason != "ordered before":
                self.fault(
                    "late_harm",
                    f"entry {index}: {type(command).__name__} of {command.duty} under "
                    f"{command.token} after {newest}",
                )

    def called(self, at: float, agent: int, site: str, token: Token, awake_since: float) -> None:
        """A request to the yard leaves a process that has been awake since then: its lease must still be the
        only one.
        """
        since, newest = self.held.get(duty_of(site), (0.0, NONE))
        if token.term == 0 and token < newest and awake_since < since - 1.0 and at > since + 0.05:
            self.fault(
                "two_owners",
                f"{at:.2f}: {agent} asks for {site} under {token}, {newest} was granted at {since:.2f}",
            )

    # --- the end ---
    def check_end(self, yard: YardLedger, duties: Duties) -> None:
        """After all links have healed and the work has come to rest."""
        whole = duties.whole
        started: dict[tuple[str, str], int] = {}
        for site, book in yard.sites.items():
            coordinated = 0
            for order in book.orders.values():
                started[site, order.kind] = started.get((site, order.kind), 0) + order.started
                if order.started > order.count > 0 or order.started < order.count < 0:
                    self.fault("orders_repeated", f"{order.id}: {order.started} started of {order.count}")
                if book.first[order.id].term > 0:
                    coordinated += order.count
                    if order.id not in whole.orders and order.id not in duties.closed:
                        self.fault("acts_lost", f"{order.id} at {site}")
                elif order.id not in whole.orders and order.id not in duties.closed:
                    self.fault("orders_lost", f"{order.id} is not in the group's books")
            if coordinated > whole.sites[site].granted:
                self.fault(
                    "over_allowance",
                    f"{site}: {coordinated} by coordinators, {whole.sites[site].granted} were handed over",
                )
        for name, site in self.ordered.items():
            book = yard.site(site)
            if name not in book.orders and name not in whole.orders and name not in duties.closed:
                self.fault("orders_lost", f"{name} at {site}")
        if not whole.orders:
            for site, kinds in whole.running.items():
                for kind, count in kinds.items():
                    if count != started.get((site, kind), 0):
                        self.fault(
                            "acts_twice" if count > started.get((site, kind), 0) else "orders_lost",
                            f"{site} {kind}: books {count}, yard {started.get((site, kind), 0)}",
                        )
        total = sum(
            sum(max(o.started, 0) for o in b.orders.values()) - sum(b.ended.values()) for b in yard.sites.values()
        )
        if total > self.bound:
            self.fault("over_allowance", f"{total} servers at the end, {self.bound} may run")

    def summary(self) -> dict[str, Any]:
        """All counts, zeros too."""
        return {name: self.counts.get(name, 0) for name in SAFETY}
