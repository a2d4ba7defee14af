"""A cluster day: agents in processes of their own, relays between each two, a yard, traffic, troubles, a judge."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from otterquay.duties.spread.names import posts_of
from otterquay.duties.state import Duties
from otterquay.duties.token import CAPACITY, duty_of
from otterquay.fleet.transport import Transport
from otterquay.lab.cluster import settings
from otterquay.lab.cluster.day import ClusterDay, Trouble
from otterquay.lab.cluster.faults.table import KINDS
from otterquay.lab.cluster.host import Clustered
from otterquay.lab.cluster.relay import FrameRelay, LinkFaults
from otterquay.lab.cluster.wires import Wires
from otterquay.lab.day import AgentsPlan, ClassPlan, Day, FleetPlan, TrafficPlan
from otterquay.lab.fleetsim.judge import Judge
from otterquay.lab.hosts import Host, Place
from otterquay.lab.ports import TCP
from otterquay.lab.world import World
from otterquay.standins.links import Link, LinkState
from otterquay.standins.tape import Stood
from otterquay.standins.yard import Yard
from otterquay.standins.yard_ledger import Effect, YardLedger


@dataclass(eq=False)  # without slots: its methods call those of the class before it
class ClusterWorld(World):
    """The stand-ins' world with the fleet's own work in the agents."""

    cluster: ClusterDay = field(kw_only=True)
    folder: Path = field(kw_only=True)
    base: Path = field(kw_only=True)
    sites: dict[int, str] = field(default_factory=dict)
    members: list[int] = field(default_factory=list)
    wires: dict[tuple[int, int], LinkFaults] = field(default_factory=dict)
    frames: list[FrameRelay] = field(default_factory=list)
    yards: dict[int, LinkState] = field(default_factory=dict)
    yard_links: list[Link] = field(default_factory=list)
    judge: Judge = field(init=False)
    seen: Wires = field(init=False)
    yard: Yard = field(init=False)
    healing: bool = False
    stopped: dict[int, float] = field(default_factory=dict)  # agents that were made to stand still, since when
    rested: bool = False
    rest_s: float = 0.0
    liars: list[Transport] = field(default_factory=list)
    undone: list[Callable[[], None]] = field(default_factory=list)
    numbers: dict[int, str] = field(default_factory=dict)
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
        self.seen = Wires(self.judge, Duties(sorted(set(self.sites.values())), self.cluster.bound), self._now)
        book = YardLedger(random.Random(self.seed))
        book.watch = self._effect
        self.yard = Yard(book, random.Random(self.seed + 1))
        at_yard = await self.yard.start()
        ports = self.claim(len(self.sites), TCP)
        self.numbers = {n: f"127.0.0.1:{port}" for n, port in enumerate(ports)}
        told: dict[tuple[int, int], str] = {}
        for a in self.sites:
            for b in self.sites:
                if a != b:
                    wire = self.wires[a, b] = LinkFaults()
                    relay = FrameRelay(a, b, self.numbers[b], wire, rng, self.seen.payload_delivered)
                    self.frames.append(relay)
                    told[a, b] = await relay.start()
        yards = {}
        for a in self.sites:
            self.yards[a] = LinkState()
            link = Link(at_yard, self.yards[a])
            self.yard_links.append(link)
            yards[a] = await link.start()
        self.key = secrets.token_bytes(32)
        key_file = self.folder / "group.key"
        key_file.write_text(self.key.hex())
        text = self.base.read_text(encoding="utf-8")
        for a in self.sites:
            addresses = {b: told[a, b] for b in self.sites if a != b}
            (self.folder / f"agent-{a}.hcl").write_text(
                text
                + settings.blocks(
                    self.cluster, self.members, str(key_file), self.numbers[a], addresses, self.sites, yards[a]
                )
            )
        await super()._start()
        self._tasks.add(asyncio.get_running_loop().create_task(self._ends(rng)))

    def place(self, place: Place) -> Host:
        """The process for a place."""
        return Clustered(self.folder / f"agent-{place.number}.hcl", place, self.folder / "group.key", self.folder)

    def _effect(self, effect: Effect) -> None:
        self.judge.yard_effect(effect)
        self.judge.check_running(effect.at, self.yard.book)
        if effect.what == "started":
            asyncio.get_running_loop().call_soon(self.seen.yard, effect.agent)

    async def _ends(self, rng: random.Random) -> None:
        """Servers end by themselves, so that there is work for owners at all times."""
        while not self.healing:
            await asyncio.sleep(self.cluster.ends_every / 1e3)
            site = rng.choice(sorted(self.cluster.site))
            if kinds := sorted(self.cluster.site[site].want):
                self.yard.book.end(site, rng.choice(kinds), 1)

    async def _traffic(self) -> None:
        waiting = [asyncio.get_running_loop().create_task(self._trouble(one)) for one in self.cluster.trouble]
        await self.clients.offer(self._rate, self.day.duration / 1e3)
        self.healing = True
        for task in waiting:
            task.cancel()
        for ended in await asyncio.gather(*waiting, return_exceptions=True):
            if isinstance(ended, Exception):
                raise ended  # a trouble that failed: the day was not played
        await self._heal()
        begun = self._now()
        calm = 0.0
        while self._now() - begun < self.cluster.rest / 1e3 and not self.rested:
            await asyncio.sleep(0.1)
            calm = calm + 0.1 if self._rests() else 0.0
            self.rested = calm >= 2.0
        self.rest_s = self._now() - begun
        self.judge.check_end(self.yard.book, self.seen.books)

    def _rests(self) -> bool:
        books = self.seen.books
        whole = books.whole
        if whole.orders or any(d.owner is None for d in whole.duties.values()):
            return False
        if self.cluster.owes and not all(
            (post := whole.spread.posts.get(name)) and post.owner is not None and post.told
            for site, plan in self.cluster.site.items()
            for name in posts_of([site], {site: plan.want})
        ):
            return False
        for site, book in self.yard.book.sites.items():
            if any(book.first[o].term and o not in books.closed for o in book.orders):
                return False
            wanted = self.cluster.site[site].want
            if any(book.alive.get(k, 0) < n for k, n in wanted.items()) and books.taken() < whole.bound:
                return False
        return True

    async def _heal(self) -> None:
        for undo in self.undone:
            undo()
        for liar in self.liars:
            liar.close()
        self.yard.lose = self.yard.lose_asked = self.yard.late_s = self.yard.book.half = 0.0
        for number in list(self.stopped):
            self.go_on(number)
        await asyncio.gather(*(self.again(number) for number in self.sites))

    async def again(self, number: int) -> None:
        """Start an agent that is down. All who ask meanwhile wait for one start, and none of them breaks it off.

        A trouble that is cancelled as its day ends would else leave a process that holds the agent's store.
        """
        if number in self.running:
            return
        if number not in self._starting:
            start = self._starting[number] = asyncio.get_running_loop().create_task(self._start_agent(number))
            start.add_done_callback(lambda _: self._starting.pop(number, None))
        await asyncio.shield(self._starting[number])

    def go_on(self, number: int) -> None:
        """SIGCONT, if it stands still."""
        if (since := self.stopped.pop(number, None)) is not None:
            self.agents[number].pause(False)
            self.tape.add(Stood(self.now(), number, since))

    def now(self) -> float:
        """Seconds of the loop's clock."""
        return self._now()

    def host(self, number: int) -> Clustered:
        """The process of an agent."""
        host = self.agents[number]
        assert isinstance(host, Clustered)
        return host

    async def _close(self) -> None:
        await asyncio.gather(*self._starting.values(), return_exceptions=True)
        for number in list(self.stopped):
            self.go_on(number)
        await super()._close()
        for relay in self.frames:
            relay.close()
        for link in self.yard_links:
            link.close()
        if hasattr(self, "yard"):
            self.yard.close()

    # --- troubles ---
    async def _trouble(self, one: Trouble) -> None:
        await asyncio.sleep(one.at / 1e3)
        agent: int | None = None
        if one.when:
            crossing: asyncio.Future[int] = asyncio.get_running_loop().create_future()
            self.seen.hooks.setdefault(one.when, []).append(
                lambda a: None if crossing.done() else crossing.set_result(a)
            )
            agent = await crossing
            await asyncio.sleep(one.after / 1e3)
        if self.healing:
            return
        self.say(f"trouble: {one.kind} {one.who or one.site}".rstrip())
        done = KINDS[one.kind](self, one, self._who(one, agent))
        if asyncio.iscoroutine(done):
            await done
        elif callable(done):
            self._undo_later(one.lasts / 1e3, done)

    def _undo_later(self, lasts: float, undo: Callable[[], None]) -> None:
        left = [undo]

        def once() -> None:
            if left:
                left.pop()()

        self.undone.append(once)
        asyncio.get_running_loop().call_later(lasts, once)

    def _who(self, one: Trouble, crossing: int | None) -> int:
        kind, _, rest = one.who.partition(":")
        if kind.isdigit():
            return int(kind)
        if kind == "leader":
            return max(self.seen.leader, 0)
        if kind == "coordinator":
            return self.seen.coordinators.get(rest, min(a for a, s in self.sites.items() if s == rest))
        if kind == "owner":
            duty = CAPACITY if rest in ("", CAPACITY) else duty_of(rest)
            owner = self.seen.books.whole.duties[duty].owner
            return owner if owner is not None else 0
        return crossing if crossing is not None else 0


def day_of(cluster: ClusterDay) -> Day:
    """The traffic that goes on meanwhile."""
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
