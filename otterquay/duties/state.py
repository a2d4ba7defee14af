"""The state that the group's log makes: owners and tokens, orders, allowances, journals taken, the fleet's table.

Every command is judged here by tokens and by what has been done before, never by a clock: when a lease runs out is
the leader's to say (`Expire`), and that it was renewed meanwhile is seen by the count of renewals.

The bound on servers: orders of the group and all that sites may still spend never pass `bound` together. What
a site was handed is counted as gone from the day it was handed over, so it holds whoever can hear whom.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from otterquay.cores.incarnations import is_later
from otterquay.duties import commands as cm
from otterquay.duties.posts.records import Assign, Looked, Posts
from otterquay.duties.token import CAPACITY, NONE, Token, duty_of, site_of

OPEN_MOST = 64  # open orders of one duty
CLOSED_KEPT = 4096  # ids of closed orders that are remembered by name; older ones count in `running` alone
AGENTS_MOST = 4096
CAPS_MOST = 256
KINDS_MOST = 256
JOURNALS_MOST = 64  # closed journals of a site kept by name between two grants


class OrderState(msgspec.Struct, array_like=True):
    """One order: what was asked, what has started, and under whose token it was written."""

    site: str
    kind: str
    count: int
    started: int
    token: Token
    open: bool


class DutyState(msgspec.Struct, array_like=True):
    """One duty: its owner, if any, and the last token granted."""

    token: Token = NONE
    owner: int | None = None
    incarnation: int = 0
    renewals: int = 0


class SiteState(msgspec.Struct, array_like=True):
    """One site's allowance (both numbers only rise), and the coordinators whose journals are taken.

    `spent` is what the group can account for: orders that it was told of, and at a settlement with the yard what a
    majority of the site's agents say was reserved. All else of `granted` may still be ordered by the site. It never
    passes what a majority of the site's agents have written down as spent: only orders that were sent are told, and
    what a settlement has counted is not counted again when its journal comes late.
    """

    granted: int = 0
    spent: int = 0
    floor: Token = NONE  # of the last settlement: what coordinators before it did is accounted for
    closed: list[Token] = []  # and these beyond it


class AgentState(msgspec.Struct, array_like=True):
    """The newest life of an agent, its last proposal and what came of it."""

    incarnation: int
    number: int
    result: cm.Result


class GroupState(msgspec.Struct, array_like=True):
    """All of it."""

    bound: int
    tokens: int = 0
    duties: dict[str, DutyState] = {}
    sites: dict[str, SiteState] = {}
    orders: dict[str, OrderState] = {}
    running: dict[str, dict[str, int]] = {}  # servers by site and kind: started less retired
    ended: dict[str, dict[str, int]] = {}  # of those, how many the yard says have ended by themselves
    agents: dict[int, AgentState] = {}
    joined: list[int] = []  # agents that were ever here
    caps: dict[int, float] = {}
    table: bytes = b""
    table_version: int = 0
    table_token: Token = NONE
    acts: int = 0  # of coordinators, taken
    spread: Posts = msgspec.field(default_factory=Posts)


class Duties:
    """The machine behind the log."""

    def __init__(self, sites: list[str], bound: int) -> None:
        self.sites, self.bound = sites, bound
        self.group_state = self._fresh()
        self.closed: dict[str, None] = {}  # ids of closed orders, the oldest first
        self.watch: Callable[[cm.Proposal, cm.Result], None] = lambda proposal, result: None

    def _fresh(self) -> GroupState:
        return GroupState(
            self.bound,
            duties={CAPACITY: DutyState(), **{duty_of(s): DutyState() for s in self.sites}},
            sites={s: SiteState() for s in self.sites},
            running={s: {} for s in self.sites},
            ended={s: {} for s in self.sites},
        )

    # --- snapshots ---
    def dump(self) -> bytes:
        """All of it as bytes."""
        return msgspec.msgpack.encode((self.group_state, list(self.closed)))

    def load(self, state: bytes) -> None:
        """Put in place what `dump` gave."""
        found: tuple[GroupState, list[str]] = msgspec.msgpack.decode(state, type=tuple[GroupState, list[str]])
        self.group_state, self.closed = found[0], dict.fromkeys(found[1])

    # --- commands ---
    def apply(self, index: int, data: bytes) -> cm.Result:
        """One command of the log; a repeated proposal gets its first result again."""
        try:
            proposal = cm.decode(data)
        except msgspec.MsgspecError as error:  # written by a later version: every member refuses it alike
            return cm.Result(False, f"not understood: {error}"[:200])
        agent = self.group_state.agents.get(proposal.agent)
        if (
            agent
            and proposal.incarnation != agent.incarnation
            and not is_later(proposal.incarnation, agent.incarnation)
        ):
            return cm.Result(False, "an earlier life", token=Token(agent.incarnation))
        if agent and proposal.incarnation == agent.incarnation and proposal.number <= agent.number:
            return agent.result if proposal.number == agent.number else cm.Result(False, "done before")
        if agent is None and len(self.group_state.agents) >= AGENTS_MOST:
            return cm.Result(False, "too many agents")
        result = self._do(proposal, proposal.command)
        self.group_state.agents[proposal.agent] = AgentState(proposal.incarnation, proposal.number, result)
        self.watch(proposal, result)
        return result

    def _do(self, by: cm.Proposal, command: cm.Command) -> cm.Result:
        match command:
            case cm.Join():
                return self._join(by, command)
            case cm.Claim():
                return self._claim(by, command)
            case cm.Renew():
                duty, refused = self._owned(command.duty, command.token, by)
                if duty is None:
                    return refused
                duty.renewals += 1
                return cm.Result(True, token=duty.token)
            case cm.Release():
                duty, refused = self._owned(command.duty, command.token, by)
                if duty is None:
                    return refused
                duty.owner = None
                return cm.Result(True)
            case cm.Expire():
                found = self.group_state.duties.get(command.duty)
                if not found or found.token != command.token or found.renewals != command.renewals:
                    return cm.Result(False, "renewed meanwhile")
                found.owner = None
                return cm.Result(True)
            case cm.Order():
                return self._order(by, command)
            case cm.Settle():
                return self._settle(by, command)
            case cm.Ended():
                return self._ended(by, command)
            case cm.Allot():
                return self._allot(by, command)
            case cm.Handover():
                return self._handover(command)
            case cm.Found():
                return self._found(by, command)
            case cm.Publish():
                return self._publish(by, command)
            case cm.Cap():
                duty, refused = self._owned(CAPACITY, command.token, by)
                if duty is None:
                    return refused
                return self._cap(command.build, command.cap)
            case Assign():
                given = self.group_state.spread.assign(command.moves, self._next)
                return cm.Result(True, token=given[0][1] if given else NONE)  # the others follow, one by one
            case Looked():
                older = self.group_state.spread.record_reports(by.agent, by.incarnation, command.reports)
                return cm.Result(not older, f"{older} of {len(command.reports)} refused" if older else "")

    def _owned(self, name: str, token: Token, by: cm.Proposal | None) -> tuple[DutyState | None, cm.Result]:
        """The duty, where this token is the newest and its owner asks; else why not."""
        duty = self.group_state.duties.get(name)
        if duty is None:
            return None, cm.Result(False, f"no duty {name}"[:200])
        if token != duty.token:
            return None, cm.Result(False, f"token {token} after {duty.token}")
        if duty.owner is None or (by and (by.agent, by.incarnation) != (duty.owner, duty.incarnation)):
            return None, cm.Result(False, "not the owner")
        return duty, cm.Result(True)

    def _join(self, by: cm.Proposal, join: cm.Join) -> cm.Result:
        """Once "new", from then on "known", with the newest token under which it may have promised something."""
        duty = self.group_state.duties.get(duty_of(join.site))
        if duty is None:
            return cm.Result(False, "no such site")
        if by.agent in self.group_state.joined:
            return cm.Result(True, "known", duty.token)
        self.group_state.joined.append(by.agent)
        return cm.Result(True, "new", duty.token)

    def _claim(self, by: cm.Proposal, claim: cm.Claim) -> cm.Result:
        duty = self.group_state.duties.get(claim.duty)
        if duty is None:
            return cm.Result(False, f"no duty {claim.duty}"[:200])
        if duty.owner is not None:
            return cm.Result(False, f"owned by {duty.owner}")
        duty.token, duty.owner, duty.incarnation = self._next(), by.agent, by.incarnation
        duty.renewals += 1
        return cm.Result(True, token=duty.token)

    def _next(self) -> Token:
        self.group_state.tokens += 1
        return Token(self.group_state.tokens)

    # --- servers ---
    def committed_servers(self) -> int:
        """Servers that run or may still be started: orders, and what sites may still spend."""
        return (
            sum(self.alive(site, kind) for site, kinds in self.group_state.running.items() for kind in kinds)
            + sum(max(o.count, 0) for o in self.group_state.orders.values())
            + sum(s.granted - s.spent for s in self.group_state.sites.values())
        )

    def alive(self, site: str, kind: str) -> int:
        """Servers of closed orders that still run."""
        return max(self.group_state.running[site].get(kind, 0) - self.group_state.ended[site].get(kind, 0), 0)

    def _ended(self, by: cm.Proposal, ended: cm.Ended) -> cm.Result:
        duty, refused = self._owned(ended.duty, ended.token, by)
        site = site_of(ended.duty)
        if duty is None or site is None:
            return refused if duty is None else cm.Result(False, "this duty has no servers")
        kinds = self.group_state.ended[site]
        if ended.kind not in kinds and len(kinds) >= KINDS_MOST:
            return cm.Result(False, "too many kinds")
        kinds[ended.kind] = max(ended.total, kinds.get(ended.kind, 0))
        return cm.Result(True)

    def _order(self, by: cm.Proposal, order: cm.Order) -> cm.Result:
        duty, refused = self._owned(order.duty, order.token, by)
        site = site_of(order.duty)
        if duty is None or site is None:
            return refused if duty is None else cm.Result(False, "this duty orders nothing")
        if order.id in self.group_state.orders or order.id in self.closed:
            return cm.Result(True, "ordered before")
        if sum(o.open and o.site == site for o in self.group_state.orders.values()) >= OPEN_MOST:
            return cm.Result(False, "too many open orders")
        if order.count == 0 or (order.count < 0 and self.alive(site, order.kind) < -order.count):
            return cm.Result(False, "not so many run")
        if order.kind not in self.group_state.running[site] and len(self.group_state.running[site]) >= KINDS_MOST:
            return cm.Result(False, "too many kinds")
        if order.count > 0 and self.committed_servers() + order.count > self.group_state.bound:
            return cm.Result(False, f"over the bound of {self.group_state.bound}")
        self.group_state.orders[order.id] = OrderState(site, order.kind, order.count, 0, order.token, True)
        return cm.Result(True, token=order.token)

    def _settle(self, by: cm.Proposal, settle: cm.Settle) -> cm.Result:
        duty, refused = self._owned(settle.duty, settle.token, by)
        if duty is None:
            return refused
        order = self.group_state.orders.get(settle.id)
        if order is None:
            return cm.Result(settle.id in self.closed, "closed before")
        self._close(settle.id, order, settle.started, settle.final)
        return cm.Result(True)

    def _close(self, name: str, order: OrderState, started: int, final: bool) -> None:
        order.started = started
        if not final:
            return
        kinds = self.group_state.running[order.site]
        kinds[order.kind] = max(kinds.get(order.kind, 0) + started, 0)
        del self.group_state.orders[name]
        self._remember(name)

    def _remember(self, name: str) -> None:
        self.closed[name] = None
        while len(self.closed) > CLOSED_KEPT:
            del self.closed[next(iter(self.closed))]

    def _allot(self, by: cm.Proposal, allot: cm.Allot) -> cm.Result:
        duty, refused = self._owned(CAPACITY, allot.token, by)
        if duty is None:
            return refused
        site = self.group_state.sites.get(allot.site)
        if site is None or allot.total < site.granted:
            return cm.Result(False, "no such site" if site is None else "an allowance is not taken back")
        if self.committed_servers() + allot.total - site.granted > self.group_state.bound:
            return cm.Result(False, f"over the bound of {self.group_state.bound}")
        site.granted = allot.total
        return cm.Result(True)

    # --- what sites did while they were cut off ---
    def _record_acts(self, site: str, token: Token, acts: list[cm.Act]) -> None:
        """Each act once, whoever tells it, in whatever pieces: what it started leaves the site's allowance."""
        state = self.group_state.sites[site]
        for act in acts:
            if act.what == "cap":  # it held within the site, for the cut alone
                self.group_state.acts += act.id not in self.closed
                self._remember(act.id)
                continue
            known = self.group_state.orders.get(act.id)
            if known is None and act.id not in self.closed:
                self.group_state.orders[act.id] = OrderState(site, act.kind, act.count, act.started, token, True)
                if token > state.floor:
                    state.spent = min(state.spent + max(act.count, 0), state.granted)
                self.group_state.acts += 1
            elif known is not None:
                known.started = max(known.started, act.started)

    def _handover(self, over: cm.Handover) -> cm.Result:
        site = self.group_state.sites.get(over.site)
        if site is None or over.token.term == 0:
            return cm.Result(False, "no coordinator of a site of ours")
        self._record_acts(over.site, over.token, over.acts)
        if over.last:
            self._close_journal(site, over.token)
        return cm.Result(True, token=over.token)

    def _close_journal(self, site: SiteState, token: Token) -> None:
        if token > site.floor and token not in site.closed:
            site.closed = [*site.closed[-JOURNALS_MOST:], token]

    def _found(self, by: cm.Proposal, found: cm.Found) -> cm.Result:
        """The yard refuses all older tokens by now, so what its list has not, will not come."""
        site = site_of(found.duty)
        if site is None:
            return cm.Result(False, "this duty has no site")
        owner, refused = self._owned(found.duty, found.token, by)
        if owner is None:
            return refused
        self._record_acts(site, found.token, found.acts)
        if found.last:
            state = self.group_state.sites[site]
            state.spent = max(state.spent, min(found.spent, state.granted))
            state.floor, state.closed = found.token, []
        return cm.Result(True, token=found.token)

    def open_journals(self, site: str, followed: Iterable[Token]) -> list[Token]:
        """Of coordinators that agents of a site say they followed, those whose journals are not taken."""
        state = self.group_state.sites[site]
        return sorted(t for t in set(followed) if t > state.floor and t not in state.closed)

    # --- the rest ---
    def _publish(self, by: cm.Proposal, publish: cm.Publish) -> cm.Result:
        duty, refused = self._owned(CAPACITY, publish.token, by)
        if duty is None:
            return refused
        if publish.version <= self.group_state.table_version:
            return cm.Result(False, f"version {publish.version} after {self.group_state.table_version}")
        self.group_state.table, self.group_state.table_version = publish.table, publish.version
        self.group_state.table_token = publish.token
        return cm.Result(True)

    def _cap(self, build: int, cap: float) -> cm.Result:
        caps = self.group_state.caps
        caps[build] = min(cap, caps.get(build, 1.0))
        while len(caps) > CAPS_MOST:
            del caps[min(caps)]  # the oldest build: long released or gone
        return cm.Result(True)

    def digest(self) -> Any:
        """What operators and tests compare."""
        return msgspec.to_builtins(self.group_state)
