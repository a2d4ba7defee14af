"""One agent's part in the fleet's own work: a state machine without I/O, driven by events and the clock.

Each event method of `Node` returns the effects of one step. The caller (the shell on sockets, or a simulation)
applies them as `cores.effects` demands: in order, writes before sends and calls, with `writes_durable` called
once the writes are on disk.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from otterquay.cores import incarnations
from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.client import Client
from otterquay.duties.lease import OwnedDuty
from otterquay.duties.posts.holder import Holder
from otterquay.duties.posts.observer import SiteObserver
from otterquay.duties.state import Duties
from otterquay.duties.token import CAPACITY, Token, duty_of, site_of
from otterquay.duties.yard_orders import ANSWER_TIMEOUT_S, Answer, Request
from otterquay.fleet import codec
from otterquay.fleet.leader import LeaderService, reply
from otterquay.fleet.plan import Plan
from otterquay.fleet.site_coordinator import JournalHandover, SiteCoordinator
from otterquay.fleet.site_reconciler import SiteReconciler
from otterquay.group import messages as gm
from otterquay.group.joining import IDENTITY, KNOWN, Joining
from otterquay.group.log import LOG, META
from otterquay.group.member import Member, load_member
from otterquay.group.types import Role
from otterquay.runtimes.demand import RATE_VALID_S, Demand
from otterquay.runtimes.evidence import SharedEvidence
from otterquay.runtimes.machine import Machine
from otterquay.runtimes.sizing import servers_needed
from otterquay.sites import messages as sm
from otterquay.sites.journal import JOURNAL, Journal
from otterquay.sites.site import BARRED_UNTIL_JOINED, SITE, STATE, Site

Tables = Mapping[str, Mapping[bytes, bytes]]
NODE_TABLE = "node"
INCARNATION_KEY = b"life"
TABLES = (META, KNOWN, LOG, SITE, JOURNAL, NODE_TABLE)
GROUP_MESSAGES = gm.KINDS
SITE_MESSAGES = sm.KINDS
# accepted only from the sender itself, never relayed
DIRECT_MESSAGES = (dm.Relayed, *GROUP_MESSAGES, *SITE_MESSAGES)


@dataclass(slots=True)
class PendingCall:
    """A request to the yard that has not been answered yet."""

    request: Request
    deadline: float
    on_answer: Callable[[float, Answer, Effects], None]


class Node:
    """The fleet work of one agent. `tables` is what its disk holds."""

    def __init__(self, plan: Plan, tables: Tables, rng: random.Random, now: float) -> None:
        self.plan, self.rng = plan, rng
        self.initial_step = Effects()
        stored_incarnation = tables.get(NODE_TABLE, {}).get(INCARNATION_KEY)
        self.incarnation = incarnations.new_incarnation(
            incarnations.start_number(int.from_bytes(stored_incarnation or b"")) + 1, rng
        )
        self._store_incarnation(self.initial_step)
        self.client = Client(plan.me, self.incarnation, plan.members)
        self.status_member_index = rng.randrange(len(plan.members))
        self.duties = Duties(plan.site_names(), plan.bound)
        self.member: Member | None = None
        self.leader_service: LeaderService | None = None
        if plan.me in plan.members:
            meta = tables.get(META, {})
            joining = Joining.begin(
                plan.me,
                plan.members,
                meta.get(IDENTITY),
                {int.from_bytes(k): v for k, v in tables.get(KNOWN, {}).items()},
                rng.getrandbits(61) + 1,
                rng.getrandbits(61),
                self.initial_step,
            )
            self.member = load_member(
                plan.me, plan.members, self.duties, tables, joining, rng, now, plan.group, plan.sizes
            )
            self.leader_service = LeaderService(plan, self.member, self.duties)
        self.site = Site.load(
            plan.me,
            plan.agents_of(plan.site),
            rng,
            tables.get(SITE, {}).get(STATE),
            Journal(sorted(tables.get(JOURNAL, {}).items())),
            now,
            plan.site_times,
            plan.back_votes,
            self.incarnation,
            self.initial_step,
        )
        self.owned: dict[str, OwnedDuty] = {}
        self.reconciler: SiteReconciler | None = None
        self.demand = Demand(now)
        self.coordinator = SiteCoordinator(
            plan.site, self.site, self._wanted_servers, plan.intervals.yard, self._call_yard
        )
        self.journal_handover = JournalHandover(plan.site, self.site, self.client.propose)
        self.redirected = False  # a member named the leader: the next status goes there
        self.last_heartbeat: dm.Beat | None = None
        self.last_heartbeat_at = self.last_direct_at = -1e9
        self.next_status_at = now + plan.intervals.status * rng.random()
        self.holder = Holder(plan.terms)
        self.observer = SiteObserver(
            plan.intervals.yard, plan.intervals.owes / 2, self._call_yard, self.client.propose
        )
        self.claimed_at: dict[str, float] = {}
        self.join_sent_at = -1e9
        self.next_allot_at = self.next_capacity_at = 0.0
        self.read_number = 0
        self.pending_calls: dict[int, PendingCall] = {}
        self.last_tag = 0
        self.now = now
        self.leaving = False
        self.broken = ""
        self.run_times = SharedEvidence(plan.me, self.incarnation, plan.machines)
        self.published_changes = 0  # change count of the rows when this agent last built the table
        self.evidence_receiver: object = None  # a new receiver is sent all rows
        self.caps_changed: Callable[[dict[int, float]], None] = lambda caps: None
        self._caps: dict[int, float] = {}

    def _store_incarnation(self, out: Effects) -> None:
        out.write(NODE_TABLE, INCARNATION_KEY, self.incarnation.to_bytes(8))

    # --- events ---
    def start(self, now: float) -> Effects:
        """Return the first step: what the start has to persist."""
        out, self.initial_step = self.initial_step, Effects()
        return out

    def tick(self, now: float) -> Effects:
        """Run all work that is due at `now`."""
        out = Effects()
        if self.broken:
            return out
        self.now = now
        for tag in [tag for tag, call in self.pending_calls.items() if now >= call.deadline]:
            # timed out: the request may have taken effect or not
            self.pending_calls.pop(tag).on_answer(now, Answer(0), out)
        if self.member and self.leader_service:
            self.member.tick(now, out)
            self.leader_service.tick(now, out)
        self.site.tick(now, out)
        if now >= self.next_status_at:
            self._send_status(now, out)
        self.client.tick(now, out)
        if self.leaving and self.member and self._all_acknowledged():
            self.member.transfer_leadership(now, out)
        self._maintain_owned(now, out)
        if self.plan.intervals.owes and not self.leaving:
            self.observer.step(now, self.holder.held(now), self._all_acknowledged(), out)
        self.coordinator.step(now, out)
        self.journal_handover.step(now, out)
        return self._finish_step(now, out)

    def due(self) -> float:
        """Return the latest time by which `tick` has to be called."""
        times = [self.next_status_at, self.site.due()]
        if self.member:
            times.append(self.member.due())
        return min(times)

    def receive(self, now: float, sender: int, message: codec.Message, via: int | None = None) -> Effects:
        """Handle a message from another agent; the transport has authenticated the sender."""
        out = Effects()
        if not self.broken:
            self._receive(now, sender, message, via, out)
        return self._finish_step(now, out)

    def writes_durable(self, now: float, step: Effects) -> Effects:
        """Handle that the writes of `step` are durable."""
        out = Effects()
        for callback in step.on_durable:
            callback(now)
        if self.member and step.on_durable:
            self.member.handle_durable(now, out)
        return self._finish_step(now, out)

    def answered(self, now: float, tag: int, answer: Answer) -> Effects:
        """Handle the yard's answer to the call `tag`; status 0 means that none came."""
        out = Effects()
        if (call := self.pending_calls.pop(tag, None)) and not self.broken:
            call.on_answer(now, answer, out)
        return self._finish_step(now, out)

    def disk_failed(self, reason: str) -> Effects:
        """Stop all fleet work: promises can no longer be persisted, so no votes, acts or duties are taken."""
        out = Effects()
        if not self.broken:
            self.broken = reason
            self.owned.clear()
            self.holder.drop()
            self.reconciler = None
            self.client.clear()
            self.pending_calls.clear()
            out.log("fleet_work_stopped", reason=reason)
        return out

    def shut_down(self, now: float) -> Effects:
        """Begin a planned shutdown: release all duties."""
        out = Effects()
        self.leaving = True
        if self.site.role.value == "coordinator":
            self.site.stop(now, "this agent ends", out)
        for duty, owned_duty in self.owned.items():
            self.client.propose(now, cm.Release(duty, owned_duty.token), lambda *_: None, out)
        self.owned.clear()
        self.holder.drop()
        self.reconciler = None
        self.next_status_at = now  # the next status tells the leader that the posts are free
        return self._finish_step(now, out)

    def has_left(self) -> bool:
        """Whether a planned shutdown is complete: all proposals are answered and this member does not lead."""
        leads = self.member is not None and len(self.plan.members) > 1 and self.member.role is Role.LEADER
        return self._all_acknowledged() and not leads

    def _all_acknowledged(self) -> bool:
        return self.client.in_flight is None and not self.client.queue

    def voted(self, now: float, build: int, back: bool) -> Effects:
        """Send the decision module's verdict on a build to the site, where a coordinator counts it."""
        out = Effects()
        for agent in self.site.agents:
            if agent == self.plan.me:
                self.site.record_ballot(agent, sm.Ballot(build, back), out)
            else:
                out.send(agent, sm.Ballot(build, back))
        return out

    def _finish_step(self, now: float, out: Effects) -> Effects:
        if self.member:
            self.member.flush(now, out)
        caps = self.caps()
        if caps != self._caps:
            self._caps = caps
            self.caps_changed(caps)
        return out

    def caps(self) -> dict[int, float]:
        """Return the caps by build that apply in addition to the release desk's; they only lower those."""
        caps = dict(self.last_heartbeat.caps) if self.last_heartbeat else {}
        for build, cap in self.site.stored.caps.items():
            caps[build] = min(cap, caps.get(build, 1.0))
        return caps

    # --- messages ---
    def _receive(self, now: float, sender: int, message: codec.Message, via: int | None, out: Effects) -> None:
        if isinstance(message, GROUP_MESSAGES):
            if self.member and via is None:
                refused = self.member.joining.refused
                self.member.receive(now, sender, message, out)
                if self.member.joining.refused != refused:
                    self.site.bar_votes(now, out)
        elif isinstance(message, SITE_MESSAGES):
            if via is None:
                self.site.receive(now, sender, message, out)
        elif isinstance(message, dm.Relayed):
            self._receive_relayed(now, sender, message, out)
        else:
            if via is None and sender in self.plan.members:
                self.last_direct_at = now
            self._receive_duty_message(now, sender, message, via, out)

    def _receive_duty_message(
        self, now: float, sender: int, message: dm.Message, via: int | None, out: Effects
    ) -> None:
        me = self.plan.me
        match message:
            case dm.Propose():
                if self.leader_service and (
                    response := self.leader_service.propose(now, sender, via, message, out)
                ):
                    reply(out, me, sender, via, response)
            case dm.Status():
                if self.leader_service:
                    reply(
                        out,
                        me,
                        sender,
                        via,
                        self.leader_service.status(now, sender, message, self.run_times.epoch(now)),
                    )
            case dm.AskBooks():
                if (
                    self.leader_service
                    and self.member
                    and self.leader_service.leads(now)
                    and message.site in self.plan.site_names()
                ):
                    leader_service, site, number = self.leader_service, message.site, message.number
                    self.member.read(
                        now, lambda _, o: reply(o, me, sender, via, leader_service.books(site, number)), out
                    )
            case dm.AskTable():
                if self.leader_service:
                    fleet_state = self.duties.group_state
                    reply(
                        out,
                        me,
                        sender,
                        via,
                        dm.Table(fleet_state.table_version, fleet_state.table_token, fleet_state.table),
                    )
            case dm.Done():
                if message.result.reason == "an earlier life" and message.incarnation == self.incarnation:
                    self._restart_incarnation(now, message.result.token.group, out)
                else:
                    self.client.handle_done(now, sender, message, out)
            case dm.Elsewhere():
                if message.number:
                    self.client.handle_elsewhere(now, message, out)
                elif message.leader in self.plan.members:
                    self.status_member_index, self.redirected = self.plan.members.index(message.leader), True
            case dm.Beat():
                if message.incarnation == self.incarnation and sender in self.plan.members:
                    self._heartbeat_received(now, sender, message, out)
            case dm.Books():
                if self.reconciler and self.reconciler.site == message.site and sender in self.plan.members:
                    self.reconciler.receive_books(message, now, out)
                if CAPACITY in self.owned:
                    self._allot_allowances(now, message, out)
            case dm.Table():
                if sender in self.plan.members:
                    self.run_times.receive_table(message.version, message.table)
            case dm.Rows():
                self.run_times.merge(message.rows, sender)
            case dm.Asked():
                if sender in self.site.agents and via is None:
                    self.demand.receive(now, sender, message.rates)

    def _receive_relayed(self, now: float, sender: int, m: dm.Relayed, out: Effects) -> None:
        plan = self.plan
        if m.to == plan.me:
            is_request = plan.me in plan.members and plan.sites.get(m.origin) == plan.sites.get(sender)
            is_answer = m.origin in plan.members and sender in self.site.agents
            if is_request or is_answer:
                try:
                    inner = codec.decode(m.body)
                except ValueError as error:
                    return out.log("relayed_refused", sender=sender, reason=str(error)[:200])
                if isinstance(inner, DIRECT_MESSAGES):
                    return out.log("relayed_refused", sender=sender, reason="message type must not be relayed")
                self._receive(now, m.origin, inner, sender, out)
            return
        forward_up = m.origin == sender and sender in self.site.agents and m.to in plan.members
        forward_down = m.origin == sender and sender in plan.members and m.to in self.site.agents
        if forward_up or forward_down:  # at most one hop in each direction, so no message loops
            out.send(m.to, m)

    def _send_to_member(self, now: float, member: int, message: dm.Message, out: Effects) -> None:
        """Send to a member; while no member is heard directly, also through the agent that last heard the group."""
        out.send(member, message)
        if now - self.last_direct_at > 2 * self.plan.intervals.status and member != self.plan.me:
            relay_agent = self.site.last_to_hear_group(now)
            if relay_agent is not None and relay_agent != member:
                out.send(relay_agent, dm.Relayed(self.plan.me, member, codec.encode(message)))

    def _restart_incarnation(self, now: float, incarnation: int, out: Effects) -> None:
        """Continue under an incarnation above the one that the group knows: this disk holds an older one."""
        out.log("life_forgotten", was=self.incarnation, known=incarnation)
        self.incarnation = incarnations.new_incarnation(
            max(incarnations.start_number(self.incarnation), incarnations.start_number(incarnation)) + 1, self.rng
        )
        self._store_incarnation(out)
        self.site.incarnation = self.incarnation
        self.site.bar_votes(now, out)
        self.client.incarnation, self.client.number, self.client.in_flight = self.incarnation, 0, None
        self.holder.drop()
        self.run_times.set_incarnation(self.incarnation)

    # --- the group ---
    def _send_status(self, now: float, out: Effects) -> None:
        self.next_status_at = now + self.plan.intervals.status
        if now - self.last_heartbeat_at > 2 * self.plan.intervals.status and not self.redirected:
            self.status_member_index = (self.status_member_index + 1) % len(self.plan.members)
        self.redirected = False
        stored = self.site.stored
        cut = self.site.following.term > 0
        posts = self.holder.status(now) if self.plan.intervals.owes and not self.leaving else (0, 0, [])
        status = dm.Status(self.incarnation, self.plan.site, stored.followed[-128:], stored.spent, cut, *posts)
        self._send_to_member(now, self.plan.members[self.status_member_index], status, out)
        if self.client.in_flight is not None and now - self.client.first_sent_at > 2 * self.client.retry_s:
            self._send_to_member(
                now, self.client.members[self.client.target_index], dm.Propose(self.client.in_flight), out
            )
        self._send_evidence(now, out)

    def _heartbeat_received(self, now: float, sender: int, heartbeat: dm.Beat, out: Effects) -> None:
        self.last_heartbeat, self.last_heartbeat_at = heartbeat, now
        site = heartbeat.site
        self.run_times.set_epoch(now, heartbeat.epoch)
        self.site.handle_group_heard(
            now, Token(site.token.group), site.granted, site.settled, site.floor, site.closed, out
        )
        if self.leaving:
            return
        if heartbeat.posts is not None:
            self.holder.answered(now, heartbeat.number, heartbeat.posts)
        if self.site.stored.barred_until == BARRED_UNTIL_JOINED and now - self.join_sent_at > 2.0:
            self.join_sent_at = now
            self.client.propose(now, cm.Join(self.plan.site), self._join_answered, out)
        for duty, owner in heartbeat.owners.items():
            free = owner is None and duty not in self.owned and now - self.claimed_at.get(duty, -1e9) > 2.0
            # about two of the agents that may own the duty claim it in each round of heartbeats
            rivals = len(self.site.agents) if site_of(duty) else len(self.plan.sites)
            if free and self.site.following.term == 0 and self.rng.random() < 2 / rivals:
                self.claimed_at[duty] = now
                self.client.propose(now, cm.Claim(duty), partial(self._claim_answered, duty, now), out)
        if heartbeat.table > self.run_times.version:
            self._send_to_member(now, sender, dm.AskTable(), out)

    def _join_answered(self, now: float, result: cm.Result, out: Effects) -> None:
        if result.ok:
            self.site.handle_join_result(result.reason != "new", result.token, out)

    def _claim_answered(self, duty: str, asked_at: float, now: float, result: cm.Result, out: Effects) -> None:
        if not result.ok or self.leaving or now >= asked_at + self.plan.terms.owner:
            return
        self.owned[duty] = OwnedDuty(result.token, asked_at + self.plan.terms.owner)
        out.log("duty_taken", duty=duty, token=str(result.token))
        if duty == duty_of(self.plan.site):
            self.reconciler = SiteReconciler(
                self.plan.site,
                result.token,
                self._wanted_servers,
                self.plan.intervals.yard,
                self._call_yard,
                self.client.propose,
                retire_after=self.plan.intervals.retire,
                all_agents_heard=self._all_agents_heard,
            )

    def _maintain_owned(self, now: float, out: Effects) -> None:
        """Run and renew the owned duties; give up one whose lease has expired or whose token is stale."""
        for duty, owned_duty in list(self.owned.items()):
            stale = self.reconciler is not None and duty == duty_of(self.plan.site) and self.reconciler.stale
            if now >= owned_duty.until or stale:
                out.log("duty_lost", duty=duty, token=str(owned_duty.token), reason="refused" if stale else "lease")
                del self.owned[duty]
                if duty == duty_of(self.plan.site):
                    self.reconciler = None
                if stale:
                    self.client.propose(now, cm.Release(duty, owned_duty.token), lambda *_: None, out)
                continue
            if not owned_duty.renewing and owned_duty.until - now < self.plan.terms.owner * 2 / 3:
                owned_duty.renewing = self.client.propose(
                    now,
                    cm.Renew(duty, owned_duty.token),
                    partial(self._renewal_answered, duty, owned_duty, now),
                    out,
                )
        reconciler = self.reconciler if duty_of(self.plan.site) in self.owned else None
        if reconciler and reconciler.step(now, self.last_heartbeat.site if self.last_heartbeat else None, out):
            self._ask_books(now, out)
        if CAPACITY in self.owned and now >= self.next_capacity_at:
            self.next_capacity_at = now + 2 * self.plan.intervals.yard
            self._ask_books(now, out)
            self._publish_table(now, out)

    def _ask_books(self, now: float, out: Effects) -> None:
        self.read_number += 1
        if self.reconciler:
            self.reconciler.read_number = self.read_number
        self._send_to_member(
            now, self.client.members[self.client.target_index], dm.AskBooks(self.plan.site, self.read_number), out
        )

    def _renewal_answered(
        self, duty: str, owned_duty: OwnedDuty, asked_at: float, now: float, result: cm.Result, out: Effects
    ) -> None:
        owned_duty.renewing = False
        if self.owned.get(duty) is not owned_duty:
            return
        if result.ok:
            owned_duty.until = max(owned_duty.until, asked_at + self.plan.terms.owner)
        else:
            owned_duty.until = now

    # --- the duty `capacity` of the whole fleet ---
    def _allot_allowances(self, now: float, books: dm.Books, out: Effects) -> None:
        """Top up each site's allowance, which it may use while it is cut off."""
        if now < self.next_allot_at:
            return
        room = books.room
        for site in self.plan.site_names():
            remaining = books.granted[site] - books.spent[site]
            additional = min(self.plan.allowance - remaining, room)
            if remaining <= self.plan.allowance // 2 and additional > 0:
                room -= additional
                self.next_allot_at = now + self.plan.intervals.yard
                self.client.propose(
                    now,
                    cm.Allot(self.owned[CAPACITY].token, site, books.granted[site] + additional),
                    lambda *_: None,
                    out,
                )

    def _publish_table(self, now: float, out: Effects) -> None:
        """Publish the run-time table if the rows have changed since the last one; fitting it is expensive."""
        if self.last_heartbeat is None or self.run_times.rows.changes == self.published_changes:
            return
        self.published_changes = self.run_times.rows.changes
        if table := self.run_times.build_table():
            version = max(self.last_heartbeat.table, self.run_times.version) + 1
            self.client.propose(now, cm.Publish(self.owned[CAPACITY].token, version, table), lambda *_: None, out)

    def _send_evidence(self, now: float, out: Effects) -> None:
        """Send this agent's run-time rows to the owner of the fleet's capacity, or within the site while it is cut
        off.
        """
        self._send_demand(now, out)
        owner = (
            self.last_heartbeat.owners.get(CAPACITY)
            if self.last_heartbeat and not self.site.group_lost(now)
            else None
        )
        evidence_receiver = owner if owner is not None else self.site.following
        if evidence_receiver != self.evidence_receiver:
            self.evidence_receiver = evidence_receiver
            self.run_times.resend_all()
        if owner is None and self.site.following.term == 0:
            return  # no receiver
        rows = self.run_times.changed_rows()
        if not rows:
            return
        if owner is not None and owner != self.plan.me:
            out.send(owner, dm.Rows(rows))
        elif owner is None:
            for agent in self.site.agents:
                if agent != self.plan.me:
                    out.send(agent, dm.Rows(rows))

    def _send_demand(self, now: float, out: Effects) -> None:
        rates = self.demand.own_rates(now)
        if not rates or self.plan.site not in self.plan.demand_driven_kinds:
            return
        owner = (
            self.last_heartbeat.owners.get(duty_of(self.plan.site))
            if self.last_heartbeat and not self.site.group_lost(now)
            else None
        )
        for agent in [owner] if owner is not None else self.site.agents:
            if agent != self.plan.me:
                out.send(agent, dm.Asked(rates))

    def _wanted_servers(self, now: float, alive: Mapping[str, int]) -> Mapping[str, int]:
        """Return the servers wanted at this site: the configured minimum, and for one kind what demand requires."""
        want = dict(self.plan.wanted.get(self.plan.site, {}))
        kind = self.plan.demand_driven_kinds.get(self.plan.site)
        if kind is not None:
            demand = self.demand.site_rates(now)
            run_times = {cls: self.run_times.estimate(cls, kind) for cls in demand}
            cores = self.plan.machines.get(kind, Machine()).specs[0] or 1.0
            sizing_result = servers_needed(demand, run_times, cores, alive.get(kind, 0), self.plan.sizing)
            # with unknown run times, no server can be considered surplus
            count = sizing_result.count if sizing_result.known else max(sizing_result.count, alive.get(kind, 0))
            want[kind] = max(want.get(kind, 0), count)
        return want

    def _all_agents_heard(self, now: float) -> bool:
        """Whether all agents of the site were heard lately; otherwise demand is missing from the sum."""
        return all(
            now - self.site.others.get(agent, -1e9) <= RATE_VALID_S
            for agent in self.site.agents
            if agent != self.plan.me
        )

    # --- the yard ---
    def _call_yard(
        self, request: Request, on_answer: Callable[[float, Answer, Effects], None], out: Effects
    ) -> None:
        self.last_tag += 1
        self.pending_calls[self.last_tag] = PendingCall(request, self.now + ANSWER_TIMEOUT_S, on_answer)
        out.call(self.last_tag, request)

    def digest(self) -> dict[str, Any]:
        """Return the state shown to operators."""
        return {
            "life": self.incarnation,
            "owns": {d: str(h.token) for d, h in self.owned.items()},
            "site": self.site.role.value,
            "following": str(self.site.following),
            "leads": bool(self.member and self.member.role.value == "leader"),
            "sits_out": self.member.joining.refused if self.member else "",
            "stopped": self.broken,
            "journals": [str(t) for t in self.site.journal.acts],
        }
