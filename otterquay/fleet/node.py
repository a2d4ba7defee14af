"""One agent's part in the fleet's own work, as a machine without I/O: events and the clock in, wishes out.

`Node.handle` takes one event and returns one `Out`. Whatever carries it out (the shell on sockets, or a laboratory)
keeps to `cores.out`: in order, writes before sends and calls, `lasts` once the writes last.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from otterquay.cores import lives
from otterquay.cores.out import Out
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.client import Client
from otterquay.duties.errand import WAIT_S, Answer, Request
from otterquay.duties.lease import Held
from otterquay.duties.spread.holder import Holder
from otterquay.duties.spread.looking import Looking
from otterquay.duties.state import Duties
from otterquay.duties.token import CAPACITY, Token, duty_of, site_of
from otterquay.fleet import codec
from otterquay.fleet.leader import LeaderService, reply
from otterquay.fleet.plan import Plan
from otterquay.fleet.site_coordinator import Coordinating, JournalHandover
from otterquay.fleet.site_reconciler import SiteReconciler
from otterquay.group import messages as gm
from otterquay.group.joining import IDENTITY, KNOWN, Joining
from otterquay.group.log import LOG, META
from otterquay.group.member import Member, started
from otterquay.group.parts import Role
from otterquay.runtimes.demand import FRESH_S, Demand
from otterquay.runtimes.evidence import SharedEvidence
from otterquay.runtimes.machine import Machine
from otterquay.runtimes.sizing import needed
from otterquay.sites import messages as sm
from otterquay.sites.journal import JOURNAL, Journal
from otterquay.sites.site import SITE, STATE, UNKNOWN, Site

Tables = Mapping[str, Mapping[bytes, bytes]]
NODE, LIFE = "node", b"life"
TABLES = (META, KNOWN, LOG, SITE, JOURNAL, NODE)
GROUP = gm.KINDS
SITES = sm.KINDS
DIRECT = (dm.Relayed, *GROUP, *SITES)  # what is never taken from another's hand


@dataclass(slots=True)
class Asked:
    """A call to the yard that is out."""

    request: Request
    until: float
    told: Callable[[float, Answer, Out], None]


class Node:
    """One agent. `tables` is what its disk holds."""

    def __init__(self, plan: Plan, tables: Tables, rng: random.Random, now: float) -> None:
        self.plan, self.rng = plan, rng
        self.begun = Out()
        kept = tables.get(NODE, {}).get(LIFE)
        self.life = lives.begin(lives.start_of(int.from_bytes(kept or b"")) + 1, rng)
        self._keep_life(self.begun)
        self.client = Client(plan.me, self.life, plan.members)
        self.asked_member = rng.randrange(len(plan.members))
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
                self.begun,
            )
            self.member = started(
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
            self.life,
            self.begun,
        )
        self.owned: dict[str, Held] = {}
        self.reconciler: SiteReconciler | None = None
        self.demand = Demand(now)
        self.coordinating = Coordinating(plan.site, self.site, self._want, plan.intervals.yard, self._ask)
        self.handing = JournalHandover(plan.site, self.site, self.client.propose)
        self.pointed = False  # by a member, to the leader: it is asked before others are tried
        self.beat: dm.Beat | None = None
        self.beat_at = self.direct_at = -1e9
        self.status_at = now + plan.intervals.status * rng.random()
        self.holder = Holder(plan.terms)
        self.looking = Looking(plan.intervals.yard, plan.intervals.owes / 2, self._ask, self.client.propose)
        self.claiming: dict[str, float] = {}
        self.joining_at = -1e9
        self.allotting = self.fleet_at = 0.0
        self.reads = 0
        self.asked: dict[int, Asked] = {}
        self.tags = 0
        self.now = now
        self.leaving = False
        self.broken = ""
        self.run_times = SharedEvidence(plan.me, self.life, plan.machines)
        self.published = 0  # changes of the rows that the newest table of ours knows of
        self.listener: object = None  # who is told our rows: another one has heard none of them
        self.caps_changed: Callable[[dict[int, float]], None] = lambda caps: None
        self._caps: dict[int, float] = {}

    def _keep_life(self, out: Out) -> None:
        out.write(NODE, LIFE, self.life.to_bytes(8))

    # --- events ---
    def start(self, now: float) -> Out:
        """The first step: what a start writes down."""
        out, self.begun = self.begun, Out()
        return out

    def tick(self, now: float) -> Out:
        """Time has passed."""
        out = Out()
        if self.broken:
            return out
        self.now = now
        for tag in [tag for tag, asked in self.asked.items() if now >= asked.until]:
            self.asked.pop(tag).told(now, Answer(0), out)  # none came: it may have been done or not
        if self.member and self.leader_service:
            self.member.tick(now, out)
            self.leader_service.tick(now, out)
        self.site.tick(now, out)
        if now >= self.status_at:
            self._status(now, out)
        self.client.tick(now, out)
        if self.leaving and self.member and self._said_all():
            self.member.hand(now, out)
        self._own(now, out)
        if self.plan.intervals.owes and not self.leaving:
            self.looking.step(now, self.holder.held(now), self._said_all(), out)
        self.coordinating.step(now, out)
        self.handing.step(now, out)
        return self._end(now, out)

    def due(self) -> float:
        """When `tick` has something to do, at the latest."""
        times = [self.status_at, self.site.due()]
        if self.member:
            times.append(self.member.due())
        return min(times)

    def receive(self, now: float, sender: int, message: codec.Message, via: int | None = None) -> Out:
        """A message of another agent, which the transport vouches for."""
        out = Out()
        if not self.broken:
            self._receive(now, sender, message, via, out)
        return self._end(now, out)

    def writes_durable(self, now: float, step: Out) -> Out:
        """A step's writes have come to last."""
        out = Out()
        for told in step.lasting:
            told(now)
        if self.member and step.lasting:
            self.member.settle(now, out)
        return self._end(now, out)

    def answered(self, now: float, tag: int, answer: Answer) -> Out:
        """The yard's answer, or that there is none (status 0)."""
        out = Out()
        if (asked := self.asked.pop(tag, None)) and not self.broken:
            asked.told(now, answer, out)
        return self._end(now, out)

    def disk_failed(self, reason: str) -> Out:
        """Nothing that this agent says can be kept any more, so it says nothing: no votes, no acts, no duties."""
        out = Out()
        if not self.broken:
            self.broken = reason
            self.owned.clear()
            self.holder.drop()
            self.reconciler = None
            self.client.clear()
            self.asked.clear()
            out.say("fleet_work_stopped", reason=reason)
        return out

    def shut_down(self, now: float) -> Out:
        """A planned end: hand over what is owned."""
        out = Out()
        self.leaving = True
        if self.site.role.value == "coordinator":
            self.site.stop(now, "this agent ends", out)
        for duty, held in self.owned.items():
            self.client.propose(now, cm.Release(duty, held.token), lambda *_: None, out)
        self.owned.clear()
        self.holder.drop()
        self.reconciler = None
        self.status_at = now  # the next step tells the leader that its posts are free
        return self._end(now, out)

    def has_left(self) -> bool:
        """Whether all that a planned end had to say was taken, and another one leads where this one did."""
        leads = self.member is not None and len(self.plan.members) > 1 and self.member.role is Role.LEADER
        return self._said_all() and not leads

    def _said_all(self) -> bool:
        return self.client.out is None and not self.client.queue

    def voted(self, now: float, build: int, back: bool) -> Out:
        """The decision module's verdict on a build; counted within the site while it is cut off."""
        out = Out()
        for agent in self.site.agents:
            if agent == self.plan.me:
                self.site.ballot(agent, sm.Ballot(build, back), out)
            else:
                out.send(agent, sm.Ballot(build, back))
        return out

    def _end(self, now: float, out: Out) -> Out:
        if self.member:
            self.member.flush(now, out)
        caps = self.caps()
        if caps != self._caps:
            self._caps = caps
            self.caps_changed(caps)
        return out

    def caps(self) -> dict[int, float]:
        """Caps by build that hold here beside the desk's; they only tighten those."""
        caps = dict(self.beat.caps) if self.beat else {}
        for build, cap in self.site.stored.caps.items():
            caps[build] = min(cap, caps.get(build, 1.0))
        return caps

    # --- messages ---
    def _receive(self, now: float, sender: int, message: codec.Message, via: int | None, out: Out) -> None:
        if isinstance(message, GROUP):
            if self.member and via is None:
                refused = self.member.joining.refused
                self.member.receive(now, sender, message, out)
                if self.member.joining.refused != refused:
                    self.site.bar_votes(now, out)
        elif isinstance(message, SITES):
            if via is None:
                self.site.receive(now, sender, message, out)
        elif isinstance(message, dm.Relayed):
            self._relayed(now, sender, message, out)
        else:
            if via is None and sender in self.plan.members:
                self.direct_at = now
            self._duty(now, sender, message, via, out)

    def _duty(self, now: float, sender: int, message: dm.Message, via: int | None, out: Out) -> None:
        me = self.plan.me
        match message:
            case dm.Propose():
                if self.leader_service and (said := self.leader_service.propose(now, sender, via, message, out)):
                    reply(out, me, sender, via, said)
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
                    whole = self.duties.whole
                    reply(out, me, sender, via, dm.Table(whole.table_version, whole.table_token, whole.table))
            case dm.Done():
                if message.result.reason == "an earlier life" and message.life == self.life:
                    self._reborn(now, message.result.token.group, out)
                else:
                    self.client.done(now, sender, message, out)
            case dm.Elsewhere():
                if message.number:
                    self.client.elsewhere(now, message, out)
                elif message.leader in self.plan.members:
                    self.asked_member, self.pointed = self.plan.members.index(message.leader), True
            case dm.Beat():
                if message.life == self.life and sender in self.plan.members:
                    self._beat(now, sender, message, out)
            case dm.Books():
                if self.reconciler and self.reconciler.site == message.site and sender in self.plan.members:
                    self.reconciler.booked(message, now, out)
                if CAPACITY in self.owned:
                    self._allot(now, message, out)
            case dm.Table():
                if sender in self.plan.members:
                    self.run_times.told(message.version, message.table)
            case dm.Rows():
                self.run_times.merge(message.rows, sender)
            case dm.Asked():
                if sender in self.site.agents and via is None:
                    self.demand.heard(now, sender, message.rates)

    def _relayed(self, now: float, sender: int, m: dm.Relayed, out: Out) -> None:
        plan = self.plan
        if m.to == plan.me:
            asked = plan.me in plan.members and plan.sites.get(m.origin) == plan.sites.get(sender)
            told = m.origin in plan.members and sender in self.site.agents
            if asked or told:
                try:
                    inner = codec.decode(m.body)
                except ValueError as error:
                    return out.say("relayed_refused", sender=sender, reason=str(error)[:200])
                if isinstance(inner, DIRECT):
                    return out.say("relayed_refused", sender=sender, reason="not to be relayed")
                self._receive(now, m.origin, inner, sender, out)
            return
        up = m.origin == sender and sender in self.site.agents and m.to in plan.members
        down = m.origin == sender and sender in plan.members and m.to in self.site.agents
        if up or down:  # one step each way, so that nothing goes round
            out.send(m.to, m)

    def _member(self, now: float, member: int, message: dm.Message, out: Out) -> None:
        """To a member; while none is heard directly, also by way of who of the site still hears the group."""
        out.send(member, message)
        if now - self.direct_at > 2 * self.plan.intervals.status and member != self.plan.me:
            nearest = self.site.nearest(now)
            if nearest is not None and nearest != member:
                out.send(nearest, dm.Relayed(self.plan.me, member, codec.encode(message)))

    def _reborn(self, now: float, life: int, out: Out) -> None:
        """Our disk has forgotten how often we were started: go on above what the group knows."""
        out.say("life_forgotten", was=self.life, known=life)
        self.life = lives.begin(max(lives.start_of(self.life), lives.start_of(life)) + 1, self.rng)
        self._keep_life(out)
        self.site.life = self.life
        self.site.bar_votes(now, out)
        self.client.life, self.client.number, self.client.out = self.life, 0, None
        self.holder.drop()
        self.run_times.reborn(self.life)

    # --- the group ---
    def _status(self, now: float, out: Out) -> None:
        self.status_at = now + self.plan.intervals.status
        if now - self.beat_at > 2 * self.plan.intervals.status and not self.pointed:
            self.asked_member = (self.asked_member + 1) % len(self.plan.members)
        self.pointed = False
        kept = self.site.stored
        cut = self.site.following.term > 0
        posts = self.holder.status(now) if self.plan.intervals.owes and not self.leaving else (0, 0, [])
        status = dm.Status(self.life, self.plan.site, kept.followed[-128:], kept.spent, cut, *posts)
        self._member(now, self.plan.members[self.asked_member], status, out)
        if self.client.out is not None and now - self.client.first_at > 2 * self.client.again:
            self._member(now, self.client.members[self.client.leader], dm.Propose(self.client.out), out)
        self._evidence(now, out)

    def _beat(self, now: float, sender: int, beat: dm.Beat, out: Out) -> None:
        self.beat, self.beat_at = beat, now
        site = beat.site
        self.run_times.begin(now, beat.epoch)
        self.site.upstream(now, Token(site.token.group), site.granted, site.settled, site.floor, site.closed, out)
        if self.leaving:
            return
        if beat.posts is not None:
            self.holder.answered(now, beat.number, beat.posts)
        if self.site.stored.barred_until == UNKNOWN and now - self.joining_at > 2.0:
            self.joining_at = now
            self.client.propose(now, cm.Join(self.plan.site), self._joined, out)
        for duty, owner in beat.owners.items():
            free = owner is None and duty not in self.owned and now - self.claiming.get(duty, -1e9) > 2.0
            rivals = len(self.site.agents) if site_of(duty) else len(self.plan.sites)
            if free and self.site.following.term == 0 and self.rng.random() < 2 / rivals:
                self.claiming[duty] = now
                self.client.propose(now, cm.Claim(duty), partial(self._granted, duty, now), out)
        if beat.table > self.run_times.version:
            self._member(now, sender, dm.AskTable(), out)

    def _joined(self, now: float, result: cm.Result, out: Out) -> None:
        if result.ok:
            self.site.joined(result.reason != "new", result.token, out)

    def _granted(self, duty: str, asked_at: float, now: float, result: cm.Result, out: Out) -> None:
        if not result.ok or self.leaving or now >= asked_at + self.plan.terms.owner:
            return
        self.owned[duty] = Held(result.token, asked_at + self.plan.terms.owner)
        out.say("duty_taken", duty=duty, token=str(result.token))
        if duty == duty_of(self.plan.site):
            self.reconciler = SiteReconciler(
                self.plan.site,
                result.token,
                self._want,
                self.plan.intervals.yard,
                self._ask,
                self.client.propose,
                retire=self.plan.intervals.retire,
                sees_all=self._sees_all,
            )

    def _own(self, now: float, out: Out) -> None:
        """Go on with what is owned, renew it, and let go of it when the lease or the token says so."""
        for duty, held in list(self.owned.items()):
            stale = self.reconciler is not None and duty == duty_of(self.plan.site) and self.reconciler.stale
            if now >= held.until or stale:
                out.say("duty_lost", duty=duty, token=str(held.token), reason="refused" if stale else "lease")
                del self.owned[duty]
                if duty == duty_of(self.plan.site):
                    self.reconciler = None
                if stale:
                    self.client.propose(now, cm.Release(duty, held.token), lambda *_: None, out)
                continue
            if not held.renewing and held.until - now < self.plan.terms.owner * 2 / 3:
                held.renewing = self.client.propose(
                    now, cm.Renew(duty, held.token), partial(self._renewed, duty, held, now), out
                )
        work = self.reconciler if duty_of(self.plan.site) in self.owned else None
        if work and work.step(now, self.beat.site if self.beat else None, out):
            self._ask_books(now, out)
        if CAPACITY in self.owned and now >= self.fleet_at:
            self.fleet_at = now + 2 * self.plan.intervals.yard
            self._ask_books(now, out)
            self._publish(now, out)

    def _ask_books(self, now: float, out: Out) -> None:
        self.reads += 1
        if self.reconciler:
            self.reconciler.reads = self.reads
        self._member(now, self.client.members[self.client.leader], dm.AskBooks(self.plan.site, self.reads), out)

    def _renewed(self, duty: str, held: Held, asked_at: float, now: float, result: cm.Result, out: Out) -> None:
        held.renewing = False
        if self.owned.get(duty) is not held:
            return
        if result.ok:
            held.until = max(held.until, asked_at + self.plan.terms.owner)
        else:
            held.until = now

    # --- the fleet's own duty ---
    def _allot(self, now: float, books: dm.Books, out: Out) -> None:
        """See that each site has its allowance to go on with when it is cut off."""
        if now < self.allotting:
            return
        room = books.room
        for site in self.plan.site_names():
            left = books.granted[site] - books.spent[site]
            more = min(self.plan.allowance - left, room)
            if left <= self.plan.allowance // 2 and more > 0:
                room -= more
                self.allotting = now + self.plan.intervals.yard
                self.client.propose(
                    now,
                    cm.Allot(self.owned[CAPACITY].token, site, books.granted[site] + more),
                    lambda *_: None,
                    out,
                )

    def _publish(self, now: float, out: Out) -> None:
        """The fleet's table, where the rows have changed since it was last made: a fit is no small work."""
        if self.beat is None or self.run_times.evidence.changes == self.published:
            return
        self.published = self.run_times.evidence.changes
        if table := self.run_times.table():
            version = max(self.beat.table, self.run_times.version) + 1
            self.client.propose(now, cm.Publish(self.owned[CAPACITY].token, version, table), lambda *_: None, out)

    def _evidence(self, now: float, out: Out) -> None:
        """Our rows of run times go to who owns the fleet's capacity, or to the coordinator while the site is
        cut.
        """
        self._tell_demand(now, out)
        owner = self.beat.owners.get(CAPACITY) if self.beat and not self.site.group_lost(now) else None
        listener = owner if owner is not None else self.site.following
        if listener != self.listener:
            self.listener = listener
            self.run_times.all_again()
        if owner is None and self.site.following.term == 0:
            return  # nobody listens
        rows = self.run_times.rows()
        if not rows:
            return
        if owner is not None and owner != self.plan.me:
            out.send(owner, dm.Rows(rows))
        elif owner is None:
            for agent in self.site.agents:
                if agent != self.plan.me:
                    out.send(agent, dm.Rows(rows))

    def _tell_demand(self, now: float, out: Out) -> None:
        rates = self.demand.own(now)
        if not rates or self.plan.site not in self.plan.sized:
            return
        owner = (
            self.beat.owners.get(duty_of(self.plan.site)) if self.beat and not self.site.group_lost(now) else None
        )
        for agent in [owner] if owner is not None else self.site.agents:
            if agent != self.plan.me:
                out.send(agent, dm.Asked(rates))

    def _want(self, now: float, alive: Mapping[str, int]) -> Mapping[str, int]:
        """Servers wanted of our site: the settings' least, and for one kind what the demand asks for."""
        want = dict(self.plan.wanted.get(self.plan.site, {}))
        kind = self.plan.sized.get(self.plan.site)
        if kind is not None:
            demand = self.demand.of_site(now)
            times = {cls: self.run_times.estimate(cls, kind) for cls in demand}
            cores = self.plan.machines.get(kind, Machine()).specs[0] or 1.0
            need = needed(demand, times, cores, alive.get(kind, 0), self.plan.sizing)
            # with run times unknown nothing is known to be too many
            count = need.count if need.known else max(need.count, alive.get(kind, 0))
            want[kind] = max(want.get(kind, 0), count)
        return want

    def _sees_all(self, now: float) -> bool:
        """Whether each agent of the site was heard lately: the demand of one that is not is not in the sum."""
        return all(
            now - self.site.others.get(agent, -1e9) <= FRESH_S
            for agent in self.site.agents
            if agent != self.plan.me
        )

    # --- the yard ---
    def _ask(self, request: Request, told: Callable[[float, Answer, Out], None], out: Out) -> None:
        self.tags += 1
        self.asked[self.tags] = Asked(request, self.now + WAIT_S, told)
        out.call(self.tags, request)

    def digest(self) -> dict[str, Any]:
        """What operators ask for."""
        return {
            "life": self.life,
            "owns": {d: str(h.token) for d, h in self.owned.items()},
            "site": self.site.role.value,
            "following": str(self.site.following),
            "leads": bool(self.member and self.member.role.value == "leader"),
            "sits_out": self.member.joining.refused if self.member else "",
            "stopped": self.broken,
            "journals": [str(t) for t in self.site.journal.acts],
        }
