"""The replicated state machine: owners and tokens, orders, allowances, recorded journals, the fleet's table.

Every command is validated here by tokens and by what was applied before, never by a clock. The leader decides
when a lease has expired (`Expire`); a renewal in the meantime is detected by the count of renewals.

The bound on servers: the group's orders and what sites may still spend never exceed `bound` together. An allowance
counts as used from the moment it is granted to a site, so the bound holds under any network partition.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from otterquay.cores.incarnations import is_later
from otterquay.duties import commands as cm
from otterquay.duties.posts.records import Assign, Looked, Posts
from otterquay.duties.token import CAPACITY, NONE, Token, duty_of, site_of

MAX_OPEN_ORDERS = 64  # per site
MAX_CLOSED_IDS = 4096  # remembered ids of closed orders; older orders count in `running` alone
MAX_AGENTS = 4096
MAX_CAPS = 256
MAX_KINDS = 256
MAX_CLOSED_JOURNALS = 64  # remembered closed journals of a site between two grants


class OrderState(msgspec.Struct, array_like=True):
    """One order: what was requested, how many have started, and the token under which it was recorded."""

    site: str
    kind: str
    count: int
    started: int
    token: Token
    open: bool


class DutyState(msgspec.Struct, array_like=True):
    """One duty: its owner, if any, and the newest token granted."""

    token: Token = NONE
    owner: int | None = None
    incarnation: int = 0
    renewals: int = 0


class SiteState(msgspec.Struct, array_like=True):
    """One site's allowance (`granted` and `spent` only increase), and the coordinators whose journals are recorded.

    `spent` is what the group can account for: orders reported to it and, after a settlement with the yard, what a
    majority of the site's agents report as reserved. The rest of `granted` may still be ordered by the site.
    `spent` never exceeds what a majority of the site's agents have stored as spent: only orders that were sent
    are reported, and what a settlement has counted is not counted again when its journal arrives late.
    """

    granted: int = 0
    spent: int = 0
    floor: Token = NONE  # of the last settlement; everything that earlier coordinators did is accounted for
    closed: list[Token] = []  # later coordinators whose journals are recorded completely


class AgentState(msgspec.Struct, array_like=True):
    """An agent's newest incarnation, its last proposal and the result."""

    incarnation: int
    number: int
    result: cm.Result


class GroupState(msgspec.Struct, array_like=True):
    """The whole replicated state, apart from the ids of closed orders."""

    bound: int
    tokens: int = 0
    duties: dict[str, DutyState] = {}
    sites: dict[str, SiteState] = {}
    orders: dict[str, OrderState] = {}
    running: dict[str, dict[str, int]] = {}  # servers by site and kind: started minus retired
    ended: dict[str, dict[str, int]] = {}  # of those, how many ended by themselves according to the yard
    agents: dict[int, AgentState] = {}
    joined: list[int] = []  # agents that have ever joined
    caps: dict[int, float] = {}
    table: bytes = b""
    table_version: int = 0
    table_token: Token = NONE
    acts: int = 0  # recorded acts of coordinators
    posts: Posts = msgspec.field(default_factory=Posts)


class Duties:
    """The state machine that applies the group's log."""

    def __init__(self, sites: list[str], bound: int) -> None:
        self.sites, self.bound = sites, bound
        self.group_state = self._initial_state()
        self.closed: dict[str, None] = {}  # ids of closed orders, oldest first
        self.on_applied: Callable[[cm.Proposal, cm.Result], None] = lambda proposal, result: None

    def _initial_state(self) -> GroupState:
        return GroupState(
            self.bound,
            duties={CAPACITY: DutyState(), **{duty_of(s): DutyState() for s in self.sites}},
            sites={s: SiteState() for s in self.sites},
            running={s: {} for s in self.sites},
            ended={s: {} for s in self.sites},
        )

    # --- snapshots ---
    def dump(self) -> bytes:
        """Encodes the whole state for a snapshot."""
        return msgspec.msgpack.encode((self.group_state, list(self.closed)))

    def load(self, state: bytes) -> None:
        """Replaces the state by one that `dump` encoded."""
        decoded: tuple[GroupState, list[str]] = msgspec.msgpack.decode(state, type=tuple[GroupState, list[str]])
        self.group_state, self.closed = decoded[0], dict.fromkeys(decoded[1])

    # --- commands ---
    def apply(self, index: int, data: bytes) -> cm.Result:
        """Applies one command of the log; a repeated proposal gets its first result again."""
        try:
            proposal = cm.decode(data)
        except msgspec.MsgspecError as error:  # from a later version: every member of this version refuses it alike
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
        if agent is None and len(self.group_state.agents) >= MAX_AGENTS:
            return cm.Result(False, "too many agents")
        result = self._dispatch(proposal, proposal.command)
        self.group_state.agents[proposal.agent] = AgentState(proposal.incarnation, proposal.number, result)
        self.on_applied(proposal, result)
        return result

    def _dispatch(self, by: cm.Proposal, command: cm.Command) -> cm.Result:
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
                expired = self.group_state.duties.get(command.duty)
                if not expired or expired.token != command.token or expired.renewals != command.renewals:
                    return cm.Result(False, "renewed meanwhile")
                expired.owner = None
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
                granted = self.group_state.posts.assign(command.moves, self._next_token)
                return cm.Result(True, token=granted[0][1] if granted else NONE)  # the others are consecutive
            case Looked():
                refused_count = self.group_state.posts.record_reports(by.agent, by.incarnation, command.reports)
                return cm.Result(
                    not refused_count, f"{refused_count} of {len(command.reports)} refused" if refused_count else ""
                )

    def _owned(self, name: str, token: Token, by: cm.Proposal | None) -> tuple[DutyState | None, cm.Result]:
        """The duty if the token is its newest one and its owner made the proposal; else None and the refusal."""
        duty = self.group_state.duties.get(name)
        if duty is None:
            return None, cm.Result(False, f"no duty {name}"[:200])
        if token != duty.token:
            return None, cm.Result(False, f"token {token} after {duty.token}")
        if duty.owner is None or (by and (by.agent, by.incarnation) != (duty.owner, duty.incarnation)):
            return None, cm.Result(False, "not the owner")
        return duty, cm.Result(True)

    def _join(self, by: cm.Proposal, join: cm.Join) -> cm.Result:
        """Answers "new" the first time and "known" from then on, with the site's newest token.

        The agent may have given promises in its site under tokens up to that one.
        """
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
        duty.token, duty.owner, duty.incarnation = self._next_token(), by.agent, by.incarnation
        duty.renewals += 1
        return cm.Result(True, token=duty.token)

    def _next_token(self) -> Token:
        self.group_state.tokens += 1
        return Token(self.group_state.tokens)

    # --- servers ---
    def committed_servers(self) -> int:
        """Servers that run or may still be started by orders or out of the sites' allowances."""
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
        if ended.kind not in kinds and len(kinds) >= MAX_KINDS:
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
        if sum(o.open and o.site == site for o in self.group_state.orders.values()) >= MAX_OPEN_ORDERS:
            return cm.Result(False, "too many open orders")
        if order.count == 0 or (order.count < 0 and self.alive(site, order.kind) < -order.count):
            return cm.Result(False, "not so many run")
        if order.kind not in self.group_state.running[site] and len(self.group_state.running[site]) >= MAX_KINDS:
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
        self._remember_closed(name)

    def _remember_closed(self, name: str) -> None:
        self.closed[name] = None
        while len(self.closed) > MAX_CLOSED_IDS:
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

    # --- acts of sites during a partition ---
    def _record_acts(self, site: str, token: Token, acts: list[cm.Act]) -> None:
        """Records each act once, whoever reports it and in whatever parts; charges it to the site's allowance."""
        state = self.group_state.sites[site]
        for act in acts:
            if act.what == "cap":  # it applied within the site only, for the partition's duration
                self.group_state.acts += act.id not in self.closed
                self._remember_closed(act.id)
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
            site.closed = [*site.closed[-MAX_CLOSED_JOURNALS:], token]

    def _found(self, by: cm.Proposal, found: cm.Found) -> cm.Result:
        """Records a settlement: the yard refuses all older tokens by now, so orders not on its list can't start."""
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
        """Coordinators that a site's agents report to have followed and whose journals are not recorded yet."""
        state = self.group_state.sites[site]
        return sorted({t for t in followed if t > state.floor and t not in state.closed})

    # --- table and caps ---
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
        while len(caps) > MAX_CAPS:
            del caps[min(caps)]  # the oldest build, released or withdrawn long ago
        return cm.Result(True)

    def digest(self) -> Any:
        """The state as plain values, to be compared by operators and tests."""
        return msgspec.to_builtins(self.group_state)
