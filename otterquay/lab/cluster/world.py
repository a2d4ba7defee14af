"""Runs a cluster day: agent processes with a relay for each direction between two, a yard, traffic and troubles."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from otterquay.duties.posts.names import post_names
from otterquay.duties.state import Duties
from otterquay.duties.token import CAPACITY, duty_of
from otterquay.fleet.transport import Transport
from otterquay.lab.cluster import settings
from otterquay.lab.cluster.day import ClusterDay, Trouble
from otterquay.lab.cluster.faults.table import KINDS
from otterquay.lab.cluster.host import ClusterHost
from otterquay.lab.cluster.relay import FrameRelay, LinkFaults
from otterquay.lab.cluster.wires import WireObserver
from otterquay.lab.day import AgentsPlan, ClassPlan, Day, FleetPlan, TrafficPlan
from otterquay.lab.fleetsim.judge import Judge
from otterquay.lab.hosts import AgentHost, AgentPlacement
from otterquay.lab.ports import TCP
from otterquay.lab.world import World
from otterquay.standins.links import Link, LinkState
from otterquay.standins.tape import Stood
from otterquay.standins.yard import Yard
from otterquay.standins.yard_ledger import Effect, YardLedger

JOIN_LIMIT_S = 120.0
JOIN_CHECK_INTERVAL_S = 0.1


@dataclass(eq=False)  # no slots: with them, super() without arguments fails
class ClusterWorld(World):
    """The lab's world with agent processes that also run the fleet's coordination."""

    cluster: ClusterDay = field(kw_only=True)
    folder: Path = field(kw_only=True)
    base: Path = field(kw_only=True)
    sites: dict[int, str] = field(default_factory=dict)
    members: list[int] = field(default_factory=list)
    link_faults: dict[tuple[int, int], LinkFaults] = field(default_factory=dict)
    frame_relays: list[FrameRelay] = field(default_factory=list)
    yard_link_states: dict[int, LinkState] = field(default_factory=dict)
    yard_links: list[Link] = field(default_factory=list)
    judge: Judge = field(init=False)
    observer: WireObserver = field(init=False)
    yard: Yard = field(init=False)
    ending: bool = False
    suspended_since: dict[int, float] = field(default_factory=dict)  # by suspended agent: when it was suspended
    rested: bool = False
    rest_s: float = 0.0
    false_reporters: list[Transport] = field(default_factory=list)
    pending_undos: list[Callable[[], None]] = field(default_factory=list)
    addresses: dict[int, str] = field(default_factory=dict)
    key: bytes = b""
    _starting: dict[int, asyncio.Task[None]] = field(default_factory=dict)

    async def _start(self) -> None:
        rng = random.Random(self.seed + 7)
        for name, plan in self.cluster.site.items():
            for i in range(plan.agents):
                number = len(self.sites)
                self.sites[number] = name
                if i < plan.members:
                    self.members.append(number)
        self.judge = Judge(self.cluster.bound, sites=self.sites)
        self.observer = WireObserver(
            self.judge, Duties(sorted(set(self.sites.values())), self.cluster.bound), self._now
        )
        ledger = YardLedger(random.Random(self.seed))
        ledger.on_effect = self._effect
        self.yard = Yard(ledger, random.Random(self.seed + 1))
        yard_address = await self.yard.start()
        ports = self.reserve_ports(len(self.sites), TCP)
        self.addresses = {n: f"127.0.0.1:{port}" for n, port in enumerate(ports)}
        relay_addresses: dict[tuple[int, int], str] = {}
        for a in self.sites:
            for b in self.sites:
                if a != b:
                    faults = self.link_faults[a, b] = LinkFaults()
                    relay = FrameRelay(a, b, self.addresses[b], faults, rng, self.observer.payload_delivered)
                    self.frame_relays.append(relay)
                    relay_addresses[a, b] = await relay.start()
        yard_addresses = {}
        for a in self.sites:
            self.yard_link_states[a] = LinkState()
            link = Link(yard_address, self.yard_link_states[a])
            self.yard_links.append(link)
            yard_addresses[a] = await link.start()
        self.key = secrets.token_bytes(32)
        key_file = self.folder / "group.key"
        key_file.write_text(self.key.hex())
        text = self.base.read_text(encoding="utf-8")
        for a in self.sites:
            peer_addresses = {b: relay_addresses[a, b] for b in self.sites if a != b}
            (self.folder / f"agent-{a}.hcl").write_text(
                text
                + settings.blocks(
                    self.cluster,
                    self.members,
                    str(key_file),
                    self.addresses[a],
                    peer_addresses,
                    self.sites,
                    yard_addresses[a],
                )
            )
        await super()._start()
        await self._wait_until_joined()
        self._tasks.add(asyncio.get_running_loop().create_task(self._end_servers(rng)))

    async def _wait_until_joined(self) -> None:
        """Wait until the group knows every agent: before that an agent has no vote in its site.

        The times of a day count from then, however long the disks take. Raises TimeoutError.
        """
        waiting_since = self._now()
        while missing := sorted(self.sites.keys() - self.observer.books.group_state.joined):
            if self._now() - waiting_since > JOIN_LIMIT_S:
                raise TimeoutError(f"agents {missing} have not joined the group in {JOIN_LIMIT_S:g} s")
            await asyncio.sleep(JOIN_CHECK_INTERVAL_S)

    def place(self, place: AgentPlacement) -> AgentHost:
        """Create the host of an agent's process."""
        return ClusterHost(self.folder / f"agent-{place.number}.hcl", place, self.folder / "group.key", self.folder)

    def _effect(self, effect: Effect) -> None:
        self.judge.yard_effect(effect)
        self.judge.check_running(effect.at, self.yard.ledger)
        if effect.what == "started":
            asyncio.get_running_loop().call_soon(self.observer.yard, effect.agent)

    async def _end_servers(self, rng: random.Random) -> None:
        """End servers at intervals, so that owners always have servers to order."""
        while not self.ending:
            await asyncio.sleep(self.cluster.ends_every / 1e3)
            site = rng.choice(sorted(self.cluster.site))
            if kinds := sorted(self.cluster.site[site].want):
                self.yard.ledger.end(site, rng.choice(kinds), 1)

    async def _traffic(self) -> None:
        troubles = [
            asyncio.get_running_loop().create_task(self._trouble(trouble)) for trouble in self.cluster.trouble
        ]
        await self.clients.offer(self._rate, self.day.duration / 1e3)
        self.ending = True
        for task in troubles:
            task.cancel()
        for outcome in await asyncio.gather(*troubles, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome  # a trouble that failed invalidates the day
        await self._end_troubles()
        ended_at = self._now()
        settled_s = 0.0
        while self._now() - ended_at < self.cluster.rest / 1e3 and not self.rested:
            await asyncio.sleep(0.1)
            settled_s = settled_s + 0.1 if self._is_settled() else 0.0
            self.rested = settled_s >= 2.0
        self.rest_s = self._now() - ended_at
        self.judge.check_end(self.yard.ledger, self.observer.books)

    def _is_settled(self) -> bool:
        books = self.observer.books
        group = books.group_state
        if group.orders or any(d.owner is None for d in group.duties.values()):
            return False
        if self.cluster.owes and not all(
            (post := group.posts.posts.get(name)) and post.owner is not None and post.report_count
            for site, plan in self.cluster.site.items()
            for name in post_names([site], {site: plan.want})
        ):
            return False
        for site, ledger in self.yard.ledger.sites.items():
            if any(ledger.first[order].term and order not in books.closed for order in ledger.orders):
                return False
            wanted = self.cluster.site[site].want
            if (
                any(ledger.alive.get(k, 0) < n for k, n in wanted.items())
                and books.committed_servers() < group.bound
            ):
                return False
        return True

    async def _end_troubles(self) -> None:
        for undo in self.pending_undos:
            undo()
        for reporter in self.false_reporters:
            reporter.close()
        self.yard.lose = self.yard.lose_asked = self.yard.late_s = self.yard.ledger.half = 0.0
        for number in list(self.suspended_since):
            self.resume_agent(number)
        await asyncio.gather(*(self.restart_agent(number) for number in self.sites))

    async def restart_agent(self, number: int) -> None:
        """Start an agent that is down. Concurrent callers wait for the same start, and none of them can cancel it.

        Otherwise a trouble cancelled at the end of its day would leave a process that holds the agent's store.
        """
        if number in self.running:
            return
        if number not in self._starting:
            start = self._starting[number] = asyncio.get_running_loop().create_task(self._start_agent(number))
            start.add_done_callback(lambda _: self._starting.pop(number, None))
        await asyncio.shield(self._starting[number])

    def resume_agent(self, number: int) -> None:
        """Send SIGCONT to an agent if it is suspended."""
        if (since := self.suspended_since.pop(number, None)) is not None:
            self.agents[number].pause(False)
            self.tape.add(Stood(self.now(), number, since))

    def now(self) -> float:
        """Seconds on the event loop's clock."""
        return self._now()

    def host(self, number: int) -> ClusterHost:
        """The host of an agent's process."""
        host = self.agents[number]
        assert isinstance(host, ClusterHost)
        return host

    async def _close(self) -> None:
        await asyncio.gather(*self._starting.values(), return_exceptions=True)
        for number in list(self.suspended_since):
            self.resume_agent(number)
        await super()._close()
        for relay in self.frame_relays:
            relay.close()
        for link in self.yard_links:
            link.close()
        if hasattr(self, "yard"):
            self.yard.close()

    # --- troubles ---
    async def _trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.at / 1e3)
        agent: int | None = None
        if trouble.when:
            event_agent: asyncio.Future[int] = asyncio.get_running_loop().create_future()
            self.observer.hooks.setdefault(trouble.when, []).append(
                lambda a: None if event_agent.done() else event_agent.set_result(a)
            )
            agent = await event_agent
            await asyncio.sleep(trouble.after / 1e3)
        if self.ending:
            return
        self.log(f"trouble: {trouble.kind} {trouble.who or trouble.site}".rstrip())
        done = KINDS[trouble.kind](self, trouble, self._agent_of(trouble, agent))
        if asyncio.iscoroutine(done):
            await done
        elif callable(done):
            self._undo_later(trouble.lasts / 1e3, done)

    def _undo_later(self, lasts: float, undo: Callable[[], None]) -> None:
        pending = [undo]

        def undo_once() -> None:
            if pending:
                pending.pop()()

        self.pending_undos.append(undo_once)
        asyncio.get_running_loop().call_later(lasts, undo_once)

    def _agent_of(self, trouble: Trouble, event_agent: int | None) -> int:
        kind, _, rest = trouble.who.partition(":")
        if kind.isdigit():
            return int(kind)
        if kind == "leader":
            return max(self.observer.leader, 0)
        if kind == "coordinator":
            return self.observer.coordinators.get(rest, min(a for a, s in self.sites.items() if s == rest))
        if kind == "owner":
            duty = CAPACITY if rest in ("", CAPACITY) else duty_of(rest)
            owner = self.observer.books.group_state.duties[duty].owner
            return owner if owner is not None else 0
        return event_agent if event_agent is not None else 0


def day_of(cluster: ClusterDay) -> Day:
    """The lab day whose traffic runs during a cluster day."""
    zones = [name for name, plan in cluster.site.items() for _ in range(plan.agents)]
    classes = {"lobby-read": 0.5, "queue-join": 0.3, "race-entry": 0.2}
    return Day(
        service="",
        duration=f"{cluster.duration}ms",  # type: ignore[arg-type]
        fleet=FleetPlan(machines=cluster.machines),
        agents=AgentsPlan(zones=zones, weights=[1.0] * len(zones)),
        traffic=TrafficPlan(
            rate=cluster.rate,
            **{
                "class": {
                    name: ClassPlan(share=f"{share:.0%}", work_least="10ms", work_most="20ms")  # type: ignore[arg-type]
                    for name, share in classes.items()
                }
            },
        ),
    )
