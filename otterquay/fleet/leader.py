"""What the group's leader does for agents: takes proposals, answers statuses, ends leases that have run out."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterquay.cores.lives import BITS
from otterquay.cores.out import Out
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.lease import Book
from otterquay.duties.spread.book import Assign
from otterquay.duties.spread.chief import Chief
from otterquay.duties.spread.names import posts_of
from otterquay.duties.spread.progress import Progress
from otterquay.duties.state import Duties
from otterquay.duties.token import Token, duty_of, site_of
from otterquay.fleet import codec
from otterquay.fleet.plan import Plan
from otterquay.group.member import Member
from otterquay.group.parts import Role

LEADER = 0xFFFF  # whose name the leader's own commands go under
PENDING_MOST = 4096
RELIEVED = 8.0  # times `owes`: how long an owner that brought nothing is kept from that duty


@dataclass(slots=True)
class Seen:
    """An agent's newest status."""

    at: float
    status: dm.Status


@dataclass(slots=True)
class LeaderService:
    """Volatile: a fresh leader begins a fresh one, and grants no site before it has heard a majority of it."""

    plan: Plan
    member: Member
    duties: Duties
    book: Book = field(init=False)
    term: int = -1
    number: int = 0
    pending: dict[tuple[int, int, int], int | None] = field(default_factory=dict)
    seen: dict[int, Seen] = field(default_factory=dict)
    waiting: dict[str, float] = field(default_factory=dict)  # since when a site's duty is held back
    chief: Chief | None = None  # of the posts; a new one each term
    relieved: dict[tuple[str, int], float] = field(default_factory=dict)  # duty and agent: not before that time

    def __post_init__(self) -> None:
        self.book = Book(self.plan.terms)
        self.member.applied = self._applied

    def leads(self, now: float) -> bool:
        """Whether this member leads, a majority answers it, and its own first entry is applied."""
        if self.member.role is not Role.LEADER:
            return False
        if self.term != self.member.term:
            self.term, self.number = self.member.term, 0
            self.book = Book(self.plan.terms)
            self.pending.clear()
            self.seen.clear()
            self.waiting.clear()
            self.relieved.clear()
            self.chief = None
        if self.chief is None and self.plan.intervals.owes and self.member.led_at:
            self.chief = Chief(
                self.plan.terms,
                4 * self.plan.intervals.status,
                self.member.led_at + 2 * self.plan.group.election,
                Progress(self.plan.intervals.owes),
            )
        return bool(self.member.led_at) and self.member.confirmed(now)

    # --- proposals ---
    def propose(self, now: float, sender: int, via: int | None, m: dm.Propose, out: Out) -> dm.Message | None:
        """Take a proposal; what to answer at once, if anything."""
        p = m.proposal
        if p.agent != sender or isinstance(p.command, cm.Expire | Assign):
            out.say("proposal_refused", sender=sender, agent=p.agent, reason="speaks for another")
            return None
        if not self.leads(now):
            return dm.Elsewhere(p.life, p.number, self.member.leader)
        key = (p.agent, p.life, p.number)
        known = self.duties.whole.agents.get(p.agent)
        if known and (known.life, known.number) == (p.life, p.number):
            return dm.Done(p.life, p.number, known.result)
        if key in self.pending:
            self.pending[key] = via
            return None
        if isinstance(p.command, cm.Claim) and (reason := self._held_back(now, p.command.duty, p.agent)):
            return dm.Done(p.life, p.number, cm.Result(False, reason))
        if isinstance(p.command, cm.Claim | cm.Renew) and self.relieved.get((p.command.duty, p.agent), -1e9) > now:
            return dm.Done(p.life, p.number, cm.Result(False, "it brought nothing"))
        if len(self.pending) >= PENDING_MOST or self.member.propose(now, cm.encode(p), out) is None:
            return None  # it asks again
        self.pending[key] = via
        return None

    def _applied(self, index: int, term: int, data: bytes, result: object, out: Out) -> None:
        if not data or not isinstance(result, cm.Result):
            return
        try:
            p = cm.decode(data)
        except ValueError:
            return
        if self.chief is not None and isinstance(p.command, Assign):
            self.chief.settled()
        if (p.agent, p.life, p.number) in self.pending:
            via = self.pending.pop((p.agent, p.life, p.number))
            reply(out, self.plan.me, p.agent, via, dm.Done(p.life, p.number, result))

    def _held_back(self, now: float, duty: str, agent: int) -> str:
        """Why a site's duty is not granted now; an empty text when it is.

        A majority of the site has to be heard as having no coordinator, and the journals of all that any of them
        followed have to be taken. After `settle` without that it is granted all the same: its owner's first act is
        to make the yard refuse all older tokens and to take the yard's list for the journals that are missing.
        """
        site = site_of(duty)
        if site is None:
            return ""
        agents = self.plan.agents_of(site)
        if agent not in agents:
            return "not of this site"
        fresh = [s for a in agents if (s := self.seen.get(a)) and now - s.at <= 4 * self.plan.intervals.status]
        heard = sum(not s.status.cut for s in fresh)
        reason = ""
        if heard <= len(agents) // 2:
            reason = f"{heard} of the site's {len(agents)} agents are heard without a coordinator"
        elif self._open(site):
            reason = "a coordinator's journal is open"
        if not reason:
            self.waiting.pop(site, None)
        elif now - self.waiting.setdefault(site, now) > self.plan.intervals.settle:
            reason = ""
        return reason

    def _open(self, site: str) -> list[Token]:
        agents = self.plan.agents_of(site)
        followed = {t for a in agents if (s := self.seen.get(a)) for t in s.status.followed}
        return self.duties.open_journals(site, followed)

    # --- statuses ---
    def status(self, now: float, sender: int, m: dm.Status, epoch: int) -> dm.Message:
        """An agent's status; a beat, where this leads."""
        if not self.leads(now):
            return dm.Elsewhere(m.life, 0, self.member.leader)
        site = self.plan.sites.get(sender)
        if site is None or site != m.site:
            return dm.Elsewhere(m.life, 0, None)
        self.seen[sender] = Seen(now, m)
        whole = self.duties.whole
        state = whole.sites[site]
        agents = self.plan.agents_of(site)
        spent = sorted((s.status.spent if (s := self.seen.get(a)) else 0 for a in agents), reverse=True)
        beat = dm.SiteBeat(
            whole.duties[duty_of(site)].token,
            state.granted,
            state.floor,
            list(state.closed),
            self._open(site)[-64:],
            spent[len(agents) // 2],
            state.spent,
        )
        posts = None
        if self.chief is not None and not m.number:
            self.chief.gone(sender)
        elif self.chief is not None:
            posts = self.chief.status(now, sender, m.life, m.number, m.applied, m.holding, whole.spread)
        return dm.Beat(
            m.life,
            {name: d.owner for name, d in whole.duties.items() if site_of(name) in (None, site)},
            beat,
            dict(whole.caps),
            whole.table_version,
            epoch,
            m.number,
            posts,
        )

    def books(self, site: str, number: int) -> dm.Books:
        """What the group holds of a site's servers."""
        whole = self.duties.whole
        orders = {k: o for k, o in whole.orders.items() if o.site == site}
        alive = {kind: self.duties.alive(site, kind) for kind in whole.running.get(site, {})}
        return dm.Books(
            site,
            orders,
            alive,
            {n: s.granted for n, s in whole.sites.items()},
            {n: s.spent for n, s in whole.sites.items()},
            whole.bound - self.duties.taken(),
            number,
        )

    def tick(self, now: float, out: Out) -> None:
        """End leases that have run out."""
        if not self.leads(now):
            return
        for name, token, renewals in self.book.overdue(now, self.member.led_at, self.duties):
            self._mine(now, cm.Expire(name, token, renewals), out)
        if self.chief is not None:
            self._posts(now, self.chief, out)

    def _mine(self, now: float, command: cm.Command, out: Out) -> bool:
        self.number += 1
        mine = cm.Proposal(LEADER, self.member.term << BITS, self.number, command)
        return self.member.propose(now, cm.encode(mine), out) is not None

    def _posts(self, now: float, chief: Chief, out: Out) -> None:
        """Posts change hands, and owners of a site's servers that others see bring nothing are relieved."""
        whole = self.duties.whole
        moves = chief.step(now, self.wanted_posts(), whole.spread) if now >= chief.next_at else []
        if moves and not self._mine(now, Assign(moves), out):
            chief.settled()
        owners = {
            site: (state.owner, state.token.group)
            for site in self.plan.site_names()
            if (state := whole.duties[duty_of(site)]).owner is not None
        }
        room = whole.bound - self.duties.taken()
        for site, why in chief.progress.sites(now, whole.spread, self.plan.wanted, owners, room):
            owner, duty = owners[site][0], duty_of(site)
            if self.relieved.get((duty, owner), -1e9) <= now:
                kept = sorted((until, a) for (d, a), until in self.relieved.items() if d == duty)
                most = len(self.plan.agents_of(site)) // 2  # the others must be able to claim it
                for _, freed in kept[: max(len(kept) + 1 - most, 0)]:
                    del self.relieved[duty, freed]
                if most:
                    self.relieved[duty, owner] = now + RELIEVED * chief.progress.owes
                    out.say("owner_relieved", duty=duty, agent=owner, reason=why)
        self.relieved = {at: until for at, until in self.relieved.items() if until > now}

    def wanted_posts(self) -> list[str]:
        """Posts that there should be: the kinds wanted of each site, and those that run there."""
        whole = self.duties.whole
        kinds = {
            site: {*self.plan.wanted.get(site, {}), *whole.running.get(site, {})} for site in self.plan.site_names()
        }
        return posts_of(self.plan.site_names(), kinds)


def reply(out: Out, me: int, to: int, via: int | None, message: dm.Message) -> None:
    """An answer goes back the way that the question came."""
    if via is None:
        out.send(to, message)
    else:
        out.send(via, dm.Relayed(me, to, codec.encode(message)))
