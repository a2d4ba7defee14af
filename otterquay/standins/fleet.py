"""The machines of a fleet and the list of them, which lags: it knows only processes, and late."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from otterquay.protocol import news
from otterquay.standins.appliance import Appliance, DedupTable, Flaw, MachineSpec
from otterquay.standins.http import EventSource
from otterquay.standins.links import Link, LinkState
from otterquay.standins.tape import Tape, ToldServer

State = Literal["ready", "draining", "gone"]


@dataclass(slots=True, eq=False)
class Position:
    """A place in the fleet: one machine, whose processes come and go."""

    zone: str
    shape: MachineSpec
    appliances: list[Appliance] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class FleetList:
    """The list: versions in order, each published `lag_s` after it came about."""

    tape: Tape
    zone_of: Callable[[int], str]  # agent's zone
    route: Callable[[str, str, str], str]  # from zone, to zone, address: what the agent is to connect to
    lag_s: float = 0.3
    extra_lag_s: float = 0.0
    entries: dict[int, news.Entry] = field(default_factory=dict)
    started: dict[int, float] = field(default_factory=dict)
    version: int = 0
    source: EventSource = field(init=False)

    def __post_init__(self) -> None:
        self.source = EventSource("list-1", self._first, self._wrote)

    def change(self, entry: news.Entry, started: float) -> None:
        """Something became of a server; agents hear of it after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s + self.extra_lag_s, self._publish, entry, started)

    def _publish(self, entry: news.Entry, started: float) -> None:
        known = self.entries.get(entry.server)
        if known and known.incarnation > entry.incarnation:
            return  # the machine has been restarted since
        base, self.version = self.version, self.version + 1
        self.started[entry.server] = started
        if entry.state == "gone":
            self.entries.pop(entry.server, None)
        else:
            self.entries[entry.server] = entry
        for peer, agent in list(self.source.followers.items()):
            told = news.FleetNews(self.version, [self._for(agent, entry)], base)
            self.source.write(peer, "delta", msgspec.json.encode(told).decode(), self.version)

    def _for(self, agent: int, entry: news.Entry) -> news.Entry:
        now = asyncio.get_running_loop().time()
        age = max(0.0, now - self.started[entry.server]) * 1e3 if self.started[entry.server] else None
        address = self.route(self.zone_of(agent), entry.zone, entry.address)
        return msgspec.structs.replace(entry, age_ms=age, address=address)

    def _first(self, agent: int, last: int | None) -> list[tuple[str, str, int]]:
        if last == self.version:
            return []
        whole = news.FleetNews(self.version, [self._for(agent, e) for e in self.entries.values()])
        return [("full", msgspec.json.encode(whole).decode(), self.version)]

    def _wrote(self, agent: int, event: str, data: str) -> None:
        now = asyncio.get_running_loop().time()
        told: news.FleetNews = msgspec.json.decode(data, type=news.FleetNews)
        for e in told.entries:
            self.tape.add(ToldServer(now, agent, e.server, e.state, e.build, e.incarnation))
        if told.base is None:
            listed = {e.server for e in told.entries}
            for server in self.started:
                if server not in listed:
                    self.tape.add(ToldServer(now, agent, server, "gone", 0, 0))


@dataclass(slots=True, eq=False)
class Fleet:
    """All machines: starts, drains and ends processes, and keeps links between zones."""

    tape: Tape
    rng: random.Random
    zones: list[str]
    dedup_s: float
    zone_of: Callable[[int], str]
    lag_s: float = 0.3
    positions: list[Position] = field(default_factory=list)
    flaws: dict[int, Flaw] = field(default_factory=dict)
    links: dict[tuple[str, str], LinkState] = field(default_factory=dict)
    list: FleetList = field(init=False)
    slowdown: float = 1.0
    refuses_while_draining: bool = True  # whether a draining appliance refuses what is new
    _books: dict[str, DedupTable] = field(default_factory=dict)
    _relays: dict[tuple[str, str], Link] = field(default_factory=dict)
    _leaving: set[Appliance] = field(default_factory=set)
    _numbers: int = 0
    _incarnations: int = 0

    def __post_init__(self) -> None:
        self.list = FleetList(self.tape, self.zone_of, self.route, self.lag_s)
        self._books = {zone: DedupTable(self.dedup_s) for zone in self.zones}
        self.links = {(a, b): LinkState() for a in self.zones for b in self.zones if a != b}

    def route(self, near: str, far: str, address: str) -> str:
        """Where an agent of `near` reaches an address of `far`: through the link between them."""
        relay = self._relays.get((near, address))
        return relay.address if relay else address

    async def start(self, position: Position, build: int, cold: bool, server: int | None = None) -> Appliance:
        """Start a process of a build at a position; a restart keeps the server's id."""
        if server is None:
            self._numbers += 1
            server = self._numbers * 7919 % 100003  # ids tell nothing of order
        self._incarnations += 1
        appliance = Appliance(
            server,
            self._incarnations,
            build,
            position.zone,
            position.shape,
            self.tape,
            self.rng,
            self._books[position.zone],
            self.flaws.get(build),
            cold,
            self._drag,
        )
        address = await appliance.start()
        for zone in self.zones:
            if zone != position.zone:
                relay = Link(address, self.links[zone, position.zone])
                await relay.start()
                self._relays[zone, address] = relay
        position.appliances.append(appliance)
        self._tell(position, appliance, "ready")
        return appliance

    def _drag(self) -> float:
        shared = [f for b, f in self.flaws.items() if f.kind == "shared"]
        running = [a for p in self.positions for a in p.appliances if not a.down]
        for flaw in shared:
            bad = sum(len(a.running) for a in running if a.flaw is flaw)
            every = max(sum(len(a.running) for a in running), 1)
            return self.slowdown * (1 + (flaw.factor - 1) * bad / every)
        return self.slowdown

    def _tell(self, position: Position, appliance: Appliance, state: State) -> None:
        entry = news.Entry(
            appliance.server,
            position.zone,
            state,
            appliance.build,
            appliance.listener.address,
            appliance.incarnation,
            weight=position.shape.cores * position.shape.speed,
        )
        self.list.change(entry, appliance.started if appliance.cold else 0.0)

    def drain(self, position: Position, appliance: Appliance, end_after_s: float) -> None:
        """Tell the list that it drains; its process turns away what is new and ends after a while."""
        appliance.draining = self.refuses_while_draining
        self._leaving.add(appliance)
        self._tell(position, appliance, "draining")
        loop = asyncio.get_running_loop()
        loop.call_later(end_after_s, self.end, position, appliance, True)

    def end(self, position: Position, appliance: Appliance, graceful: bool = False) -> None:
        """End a process."""
        if appliance in position.appliances:
            position.appliances.remove(appliance)
            self._leaving.discard(appliance)
            appliance.stop(graceful)
            self._tell(position, appliance, "gone")

    def newest(self, position: Position) -> Appliance | None:
        """The process at a position that takes work."""
        ready = [a for a in position.appliances if not a.down and not a.draining and a not in self._leaving]
        return ready[-1] if ready else None

    def close(self) -> None:
        """End everything."""
        for position in self.positions:
            for appliance in position.appliances:
                appliance.stop()
        for relay in self._relays.values():
            relay.close()
        self.list.source.close()
