"""Checks one run for safety violations, from the messages on the wire, the applied log entries and the yard's tape.

The nodes' own view of their state is not used, so a node that is wrong about itself cannot hide a violation.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.posts.records import Assign, Looked
from otterquay.duties.state import Duties
from otterquay.duties.token import NONE, Token, duty_of
from otterquay.fleet import codec
from otterquay.lab.fleetsim.reads import ReadChecker
from otterquay.runtimes import rows as rw
from otterquay.sites import messages as sm
from otterquay.standins.yard_ledger import Effect, YardLedger

SAFETY_COUNTS = (
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
    """Counts safety violations by name; `notes` keeps the text of the first ones."""

    bound: int
    counts: Counter[str] = field(default_factory=Counter)
    notes: list[str] = field(default_factory=list)
    grants: dict[Token, tuple[int, str]] = field(default_factory=dict)
    recorded_orders: dict[str, str] = field(default_factory=dict)  # site, by id of an order the group confirmed
    proposals: dict[tuple[int, int, int], cm.Command] = field(default_factory=dict)
    leads: dict[tuple[str, Token], int] = field(default_factory=dict)
    lead_caps: dict[tuple[str, Token], tuple[int, dict[int, float]]] = field(default_factory=dict)
    row_counts: dict[rw.Key, set[tuple[int, int]]] = field(default_factory=dict)
    latest_tokens: dict[str, Token] = field(default_factory=dict)
    token_users: dict[tuple[str, Token], int] = field(default_factory=dict)
    applied_entries: dict[int, bytes] = field(default_factory=dict)
    issued_tokens: set[int] = field(default_factory=set)
    latest_grants: dict[str, tuple[float, Token]] = field(default_factory=dict)  # by duty: last grant
    sites: Mapping[int, str] = field(default_factory=dict)
    latest_assignments: dict[str, tuple[float, Token]] = field(default_factory=dict)  # by post: last assignment
    first_reporters: dict[tuple[str, Token], int] = field(default_factory=dict)
    reads: ReadChecker = field(default_factory=ReadChecker)
    sent_proposals: set[tuple[int, int, int]] = field(default_factory=set)
    moves: list[tuple[float, str, int | None]] = field(default_factory=list)  # time, post, new owner

    def add_violation(self, what: str, text: str) -> None:
        """Record one violation."""
        self.counts[what] += 1
        if len(self.notes) < 40:
            self.notes.append(f"{what}: {text}")

    # --- messages ---
    def message_delivered(self, at: float, sender: int, to: int, message: codec.Message) -> None:
        """Check a message that reached its receiver."""
        match message:
            case dm.Relayed():
                if message.to == to:
                    self.message_delivered(at, message.origin, to, codec.decode(message.body))
            case dm.Propose():
                proposal = message.proposal
                self.proposals[proposal.agent, proposal.incarnation, proposal.number] = proposal.command
                if isinstance(proposal.command, Looked):
                    self._looked(at, proposal.agent, proposal.command)
            case dm.Done():
                command = self.proposals.get((to, message.incarnation, message.number))
                if message.result.ok:
                    self._done(at, to, command, message.result)
            case sm.Lead():
                self._lead(at, sender, message)
            case dm.Books():
                for text in self.reads.check_answer(at, to, message):
                    self.add_violation("stale_reads", text)
            case dm.Rows():
                self._rows(at, sender, message.rows)

    def _looked(self, at: float, agent: int, looked: Looked) -> None:
        for report in looked.reports:
            first = self.first_reporters.setdefault((report.post, report.token), agent)
            if first != agent:
                self.add_violation("two_owners", f"{at:.2f}: {report.post} {report.token}: {first}, {agent}")

    def message_sent(self, at: float, agent: int, message: codec.Message, awake_since: float) -> None:
        """Check a message as it is sent: a process may report on a post only while it holds it.

        A process that was suspended is excused: it may send a report that it had prepared before the suspension.
        """
        self.reads.message_sent(at, agent, message)
        if not isinstance(message, dm.Propose) or not isinstance(message.proposal.command, Looked):
            return
        proposal = message.proposal
        if (proposal.agent, proposal.incarnation, proposal.number) in self.sent_proposals:
            return  # a retry; the first transmission was checked
        self.sent_proposals.add((proposal.agent, proposal.incarnation, proposal.number))
        for report in message.proposal.command.reports:
            since, newest = self.latest_assignments.get(report.post, (0.0, NONE))
            if report.token < newest and awake_since < since - 1.0 and at > since + 0.05:
                self.add_violation(
                    "two_owners",
                    f"{at:.2f}: {agent} reports {report.post} under {report.token}, "
                    f"{newest} was assigned at {since:.2f}",
                )

    def _assigned(self, at: float, index: int, assign: Assign, first_token: Token) -> None:
        number = first_token.group
        for move in assign.moves:
            self.moves.append((at, move.post, move.agent))
            if move.agent is None:
                continue
            if number <= max(self.issued_tokens, default=0):
                self.add_violation("tokens_back", f"entry {index}: {number} after {max(self.issued_tokens)}")
            self.issued_tokens.add(number)
            self.latest_assignments[move.post] = at, Token(number)
            number += 1

    def _done(self, at: float, to: int, command: cm.Command | None, result: cm.Result) -> None:
        match command:
            case cm.Claim():
                granted_to = self.grants.setdefault(result.token, (to, command.duty))
                if granted_to != (to, command.duty):
                    self.add_violation(
                        "two_owners", f"{at:.2f}: token {result.token} to {granted_to} and to {to}, {command.duty}"
                    )
            case cm.Order():
                self.recorded_orders[command.id] = command.duty.partition("/")[2]
                self.reads.order_recorded(at, command)
            case cm.Settle():
                self.reads.order_settled(at, command)
            case cm.Allot():
                self.reads.allotment_recorded(at, command)

    def _lead(self, at: float, sender: int, lead: sm.Lead) -> None:
        key = (self.sites[sender], lead.token)
        first = self.leads.setdefault(key, sender)
        if first != sender:
            self.add_violation(
                "two_coordinators", f"{at:.2f}: {key[0]} {lead.token} is coordinated by {first} and {sender}"
            )
        number, caps = self.lead_caps.get(key, (0, {}))
        if lead.number <= number:
            return  # late or repeated: it shows an older state
        for build, cap in caps.items():
            if lead.caps.get(build, 1.0) > cap:
                self.add_violation(
                    "loosened",
                    f"{at:.2f}: {key[0]} {lead.token}: build {build} from {cap} to {lead.caps.get(build, 1.0)}",
                )
        self.lead_caps[key] = lead.number, dict(lead.caps)

    def _rows(self, at: float, sender: int, data: bytes) -> None:
        """A row's count must grow strictly with its version; otherwise run times are counted twice or lost."""
        try:
            decoded = rw.decode(data)
        except ValueError:
            return
        for key, row in decoded:
            if key.agent != sender:
                continue
            total = sum(row.exact.values()) + sum(row.at_most.values()) + sum(row.at_least.values())
            for version, count in self.row_counts.get(key, ()):
                if (version == row.version) != (count == total) or (version < row.version) != (count < total):
                    self.add_violation(
                        "counted_twice", f"{at:.2f}: {key}: {total} at version {row.version}, {count} at {version}"
                    )
            self.row_counts[key] = {(row.version, total), *sorted(self.row_counts.get(key, ()))[-2:]}

    # --- the yard ---
    def yard_effect(self, effect: Effect) -> None:
        """Check an effect of the yard: tokens must not decrease, and each must belong to one agent."""
        if effect.what not in ("started", "cancelled", "fenced"):
            return
        newest = self.latest_tokens.get(effect.site, NONE)
        if effect.token < newest:
            self.add_violation(
                "late_harm",
                f"{effect.at:.2f}: {effect.what} at {effect.site} by {effect.agent} under "
                f"{effect.token} after {newest}",
            )
        self.latest_tokens[effect.site] = max(newest, effect.token)
        first = self.token_users.setdefault((effect.site, effect.token), effect.agent)
        if first != effect.agent:
            self.add_violation(
                "two_owners", f"{effect.at:.2f}: {effect.site} {effect.token}: {first}, {effect.agent}"
            )

    def check_running(self, at: float, yard: YardLedger) -> None:
        """Check that the servers running now, over all sites, do not exceed the bound."""
        alive = sum(sum(ledger.alive.values()) for ledger in yard.sites.values())
        if alive > self.bound:
            self.add_violation("over_allowance", f"{at:.2f}: {alive} servers run, the bound is {self.bound}")

    def entry_applied(self, at: float, index: int, data: bytes, member: int, result: object) -> None:
        """Check a log entry that a member applied: members apply the same entries, granted tokens increase."""
        first = index not in self.applied_entries
        if self.applied_entries.setdefault(index, data) != data:
            self.add_violation("state_differs", f"entry {index} at member {member}")
        if not first or not data or not isinstance(result, cm.Result) or not result.ok:
            return
        command = cm.decode(data).command
        if isinstance(command, cm.Claim) and result.token.group not in self.issued_tokens:
            if result.token.group <= max(self.issued_tokens, default=0):
                self.add_violation("tokens_back", f"entry {index}: {result.token} after {max(self.issued_tokens)}")
            self.issued_tokens.add(result.token.group)
            self.latest_grants[command.duty] = (at, result.token)
        elif isinstance(command, Assign):
            self._assigned(at, index, command, result.token)
        elif isinstance(command, Looked):
            for report in command.reports:
                if report.token < (newest := self.latest_assignments.get(report.post, (0.0, NONE))[1]):
                    self.add_violation(
                        "late_harm", f"entry {index}: {report.post} under {report.token} after {newest}"
                    )
        elif isinstance(command, cm.Order | cm.Settle | cm.Ended | cm.Renew | cm.Found):
            newest = self.latest_grants.get(command.duty, (0.0, NONE))[1]
            if command.token < newest and result.reason != "ordered before":
                self.add_violation(
                    "late_harm",
                    f"entry {index}: {type(command).__name__} of {command.duty} under "
                    f"{command.token} after {newest}",
                )

    def yard_request_sent(self, at: float, agent: int, site: str, token: Token, awake_since: float) -> None:
        """Check a request to the yard as it is sent: the sender's lease must be the newest one.

        As in `message_sent`, a process that was suspended is excused; the yard's fencing rejects its request.
        """
        since, newest = self.latest_grants.get(duty_of(site), (0.0, NONE))
        if token.term == 0 and token < newest and awake_since < since - 1.0 and at > since + 0.05:
            self.add_violation(
                "two_owners",
                f"{at:.2f}: {agent} sends a request for {site} under {token}, {newest} was granted at {since:.2f}",
            )

    # --- end of the run ---
    def check_end(self, yard: YardLedger, duties: Duties) -> None:
        """Compare the yard's orders with the group's records, after the fleet has settled."""
        group = duties.group_state
        started: dict[tuple[str, str], int] = {}
        for site, ledger in yard.sites.items():
            coordinated = 0
            for order in ledger.orders.values():
                started[site, order.kind] = started.get((site, order.kind), 0) + order.started
                if order.started > order.count > 0 or order.started < order.count < 0:
                    self.add_violation("orders_repeated", f"{order.id}: {order.started} started of {order.count}")
                if ledger.first[order.id].term > 0:
                    coordinated += order.count
                    if order.id not in group.orders and order.id not in duties.closed:
                        self.add_violation("acts_lost", f"{order.id} at {site}")
                elif order.id not in group.orders and order.id not in duties.closed:
                    self.add_violation("orders_lost", f"{order.id} is not in the group's records")
            if coordinated > group.sites[site].granted:
                self.add_violation(
                    "over_allowance",
                    f"{site}: {coordinated} by coordinators, {group.sites[site].granted} were granted",
                )
        for name, site in self.recorded_orders.items():
            ledger = yard.site(site)
            if name not in ledger.orders and name not in group.orders and name not in duties.closed:
                self.add_violation("orders_lost", f"{name} at {site}")
        if not group.orders:
            for site, kinds in group.running.items():
                for kind, count in kinds.items():
                    if count != started.get((site, kind), 0):
                        self.add_violation(
                            "acts_twice" if count > started.get((site, kind), 0) else "orders_lost",
                            f"{site} {kind}: group {count}, yard {started.get((site, kind), 0)}",
                        )
        total = sum(
            sum(max(o.started, 0) for o in ledger.orders.values()) - sum(ledger.ended.values())
            for ledger in yard.sites.values()
        )
        if total > self.bound:
            self.add_violation("over_allowance", f"{total} servers at the end, the bound is {self.bound}")

    def summary(self) -> dict[str, Any]:
        """All counts by name, including zeros."""
        return {name: self.counts.get(name, 0) for name in SAFETY_COUNTS}
