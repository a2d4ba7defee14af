"""The leader's service to agents: accepts proposals, answers statuses, ends expired leases, assigns posts."""

from __future__ import annotations

from dataclasses import dataclass, field

from otterquay.cores.effects import Effects
from otterquay.cores.incarnations import RANDOM_BITS
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.lease import LeaseRegistry
from otterquay.duties.posts.assigner import PostAssigner
from otterquay.duties.posts.names import post_names
from otterquay.duties.posts.progress import Progress
from otterquay.duties.posts.records import Assign
from otterquay.duties.state import Duties
from otterquay.duties.token import Token, duty_of, site_of
from otterquay.fleet import codec
from otterquay.fleet.plan import Plan
from otterquay.group.member import Member
from otterquay.group.types import Role

LEADER_AGENT = 0xFFFF  # agent number in the leader's own proposals
MAX_PENDING_PROPOSALS = 4096
RELIEF_PERIODS = 8.0  # multiples of `owes` for which an owner without progress may not reclaim the duty


@dataclass(slots=True)
class ReceivedStatus:
    """An agent's newest status and when it was received."""

    at: float
    status: dm.Status


@dataclass(slots=True)
class LeaderService:
    """Volatile state of one leadership term; no site duty is granted before a majority of the site was heard."""

    plan: Plan
    member: Member
    duties: Duties
    leases: LeaseRegistry = field(init=False)
    term: int = -1
    number: int = 0  # of the leader's newest own proposal in this term
    # by agent, incarnation and number of the proposal: the agent that relayed it, None if it came directly
    pending: dict[tuple[int, int, int], int | None] = field(default_factory=dict)
    statuses: dict[int, ReceivedStatus] = field(default_factory=dict)
    # by site: since when claims of its duty are refused
    blocked_since: dict[str, float] = field(default_factory=dict)
    assigner: PostAssigner | None = None  # assigns posts; a new one in each term
    # by duty and agent: when it may claim again
    relieved_until: dict[tuple[str, int], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.leases = LeaseRegistry(self.plan.terms)
        self.member.on_applied = self._handle_applied

    def leads(self, now: float) -> bool:
        """Whether this member leads, a majority confirms it, and the first entry of its term is applied."""
        if self.member.role is not Role.LEADER:
            return False
        if self.term != self.member.term:
            self.term, self.number = self.member.term, 0
            self.leases = LeaseRegistry(self.plan.terms)
            self.pending.clear()
            self.statuses.clear()
            self.blocked_since.clear()
            self.relieved_until.clear()
            self.assigner = None
        if self.assigner is None and self.plan.intervals.owes and self.member.leading_since:
            self.assigner = PostAssigner(
                self.plan.terms,
                4 * self.plan.intervals.status,
                self.member.leading_since + 2 * self.plan.group.election,
                Progress(self.plan.intervals.owes),
            )
        return bool(self.member.leading_since) and self.member.confirmed(now)

    # --- proposals ---
    def propose(self, now: float, sender: int, via: int | None, m: dm.Propose, out: Effects) -> dm.Message | None:
        """Accept a proposal; returns the message to answer at once, if any."""
        proposal = m.proposal
        if proposal.agent != sender or isinstance(proposal.command, cm.Expire | Assign):
            out.log(
                "proposal_refused", sender=sender, agent=proposal.agent, reason="sender is not the proposing agent"
            )
            return None
        if not self.leads(now):
            return dm.Elsewhere(proposal.incarnation, proposal.number, self.member.leader)
        key = (proposal.agent, proposal.incarnation, proposal.number)
        known = self.duties.group_state.agents.get(proposal.agent)
        if known and (known.incarnation, known.number) == (proposal.incarnation, proposal.number):
            return dm.Done(proposal.incarnation, proposal.number, known.result)
        if key in self.pending:
            self.pending[key] = via
            return None
        if isinstance(proposal.command, cm.Claim) and (
            reason := self._claim_block_reason(now, proposal.command.duty, proposal.agent)
        ):
            return dm.Done(proposal.incarnation, proposal.number, cm.Result(False, reason))
        if (
            isinstance(proposal.command, cm.Claim | cm.Renew)
            and self.relieved_until.get((proposal.command.duty, proposal.agent), -1e9) > now
        ):
            return dm.Done(proposal.incarnation, proposal.number, cm.Result(False, "it brought nothing"))
        if len(self.pending) >= MAX_PENDING_PROPOSALS or self.member.propose(now, cm.encode(proposal), out) is None:
            return None  # the agent retries
        self.pending[key] = via
        return None

    def _handle_applied(self, index: int, term: int, data: bytes, result: object, out: Effects) -> None:
        if not data or not isinstance(result, cm.Result):
            return
        try:
            proposal = cm.decode(data)
        except ValueError:
            return
        if self.assigner is not None and isinstance(proposal.command, Assign):
            self.assigner.settled()
        if (proposal.agent, proposal.incarnation, proposal.number) in self.pending:
            via = self.pending.pop((proposal.agent, proposal.incarnation, proposal.number))
            reply(out, self.plan.me, proposal.agent, via, dm.Done(proposal.incarnation, proposal.number, result))

    def _claim_block_reason(self, now: float, duty: str, agent: int) -> str:
        """Return why a site's duty is not granted now, or an empty text if it is.

        A majority of the site must report no coordinator, and the journals of all coordinators that any of them
        followed must have been handed over. After `settle` seconds without that, the duty is granted all the same:
        its owner first makes the yard refuse all older tokens, then uses the yard's list for missing journals.
        """
        site = site_of(duty)
        if site is None:
            return ""
        agents = self.plan.agents_of(site)
        if agent not in agents:
            return "not of this site"
        recent = [s for a in agents if (s := self.statuses.get(a)) and now - s.at <= 4 * self.plan.intervals.status]
        without_coordinator = sum(not s.status.cut for s in recent)
        reason = ""
        if without_coordinator <= len(agents) // 2:
            reason = f"{without_coordinator} of the site's {len(agents)} agents are heard without a coordinator"
        elif self._open_journals(site):
            reason = "a coordinator's journal is open"
        if not reason:
            self.blocked_since.pop(site, None)
        elif now - self.blocked_since.setdefault(site, now) > self.plan.intervals.settle:
            reason = ""
        return reason

    def _open_journals(self, site: str) -> list[Token]:
        agents = self.plan.agents_of(site)
        followed = {t for a in agents if (s := self.statuses.get(a)) for t in s.status.followed}
        return self.duties.open_journals(site, followed)

    # --- statuses ---
    def status(self, now: float, sender: int, m: dm.Status, epoch: int) -> dm.Message:
        """Record an agent's status; answers with a heartbeat if this member leads."""
        if not self.leads(now):
            return dm.Elsewhere(m.incarnation, 0, self.member.leader)
        site = self.plan.sites.get(sender)
        if site is None or site != m.site:
            return dm.Elsewhere(m.incarnation, 0, None)
        self.statuses[sender] = ReceivedStatus(now, m)
        fleet_state = self.duties.group_state
        state = fleet_state.sites[site]
        agents = self.plan.agents_of(site)
        spent = sorted((s.status.spent if (s := self.statuses.get(a)) else 0 for a in agents), reverse=True)
        site_beat = dm.SiteBeat(
            fleet_state.duties[duty_of(site)].token,
            state.granted,
            state.floor,
            list(state.closed),
            self._open_journals(site)[-64:],
            spent[len(agents) // 2],  # a majority of the site's agents reports at least this
            state.spent,
        )
        posts = None
        if self.assigner is not None and not m.number:
            self.assigner.agent_left(sender)
        elif self.assigner is not None:
            posts = self.assigner.status(
                now, sender, m.incarnation, m.number, m.applied, m.holding, fleet_state.posts
            )
        return dm.Beat(
            m.incarnation,
            {name: d.owner for name, d in fleet_state.duties.items() if site_of(name) in (None, site)},
            site_beat,
            dict(fleet_state.caps),
            fleet_state.table_version,
            epoch,
            m.number,
            posts,
        )

    def books(self, site: str, number: int) -> dm.Books:
        """Return the group's records of a site's servers."""
        fleet_state = self.duties.group_state
        orders = {k: o for k, o in fleet_state.orders.items() if o.site == site}
        alive = {kind: self.duties.alive(site, kind) for kind in fleet_state.running.get(site, {})}
        return dm.Books(
            site,
            orders,
            alive,
            {n: s.granted for n, s in fleet_state.sites.items()},
            {n: s.spent for n, s in fleet_state.sites.items()},
            fleet_state.bound - self.duties.committed_servers(),
            number,
        )

    def tick(self, now: float, out: Effects) -> None:
        """End expired leases and reassign posts."""
        if not self.leads(now):
            return
        for name, token, renewals in self.leases.overdue(now, self.member.leading_since, self.duties):
            self._propose_own(now, cm.Expire(name, token, renewals), out)
        if self.assigner is not None:
            self._assign_posts(now, self.assigner, out)

    def _propose_own(self, now: float, command: cm.Command, out: Effects) -> bool:
        self.number += 1
        own_proposal = cm.Proposal(LEADER_AGENT, self.member.term << RANDOM_BITS, self.number, command)
        return self.member.propose(now, cm.encode(own_proposal), out) is not None

    def _assign_posts(self, now: float, assigner: PostAssigner, out: Effects) -> None:
        """Reassign posts, and relieve owners of site duties that make no progress according to other agents."""
        fleet_state = self.duties.group_state
        moves = assigner.step(now, self.wanted_posts(), fleet_state.posts) if now >= assigner.next_at else []
        if moves and not self._propose_own(now, Assign(moves), out):
            assigner.settled()
        owners = {
            site: (state.owner, state.token.group)
            for site in self.plan.site_names()
            if (state := fleet_state.duties[duty_of(site)]).owner is not None
        }
        room = fleet_state.bound - self.duties.committed_servers()
        for site, reason in assigner.progress.sites(now, fleet_state.posts, self.plan.wanted, owners, room):
            owner, duty = owners[site][0], duty_of(site)
            if self.relieved_until.get((duty, owner), -1e9) <= now:
                relief_ends = sorted((until, a) for (d, a), until in self.relieved_until.items() if d == duty)
                max_relieved = len(self.plan.agents_of(site)) // 2  # other agents must be able to claim it
                for _, agent_to_free in relief_ends[: max(len(relief_ends) + 1 - max_relieved, 0)]:
                    del self.relieved_until[duty, agent_to_free]
                if max_relieved:
                    self.relieved_until[duty, owner] = now + RELIEF_PERIODS * assigner.progress.owes
                    out.log("owner_relieved", duty=duty, agent=owner, reason=reason)
        self.relieved_until = {key: until for key, until in self.relieved_until.items() if until > now}

    def wanted_posts(self) -> list[str]:
        """Return the posts needed: one for each kind wanted or running at each site."""
        fleet_state = self.duties.group_state
        kinds = {
            site: {*self.plan.wanted.get(site, {}), *fleet_state.running.get(site, {})}
            for site in self.plan.site_names()
        }
        return post_names(self.plan.site_names(), kinds)


def reply(out: Effects, me: int, to: int, via: int | None, message: dm.Message) -> None:
    """Send an answer back the way that the request came: directly or relayed by `via`."""
    if via is None:
        out.send(to, message)
    else:
        out.send(via, dm.Relayed(me, to, codec.encode(message)))
