"""The machines of a fleet, and the fleet list, which publishes the state of their processes with a delay."""

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
    """One machine of the fleet, with the processes that run on it."""

    zone: str
    spec: MachineSpec
    appliances: list[Appliance] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class FleetList:
    """The fleet list: numbered versions, each published `lag_s` after its change."""

    tape: Tape
    zone_of: Callable[[int], str]  # zone of an agent
    route: Callable[[str, str, str], str]  # source zone, target zone, address -> address to connect to
    lag_s: float = 0.3
    extra_lag_s: float = 0.0
    entries: dict[int, news.Entry] = field(default_factory=dict)
    started: dict[int, float] = field(default_factory=dict)
    version: int = 0
    source: EventSource = field(init=False)

    def __post_init__(self) -> None:
        self.source = EventSource("list-1", self._initial_events, self._record_written)

    def publish_change(self, entry: news.Entry, started: float) -> None:
        """Publish a server's change of state after the lag."""
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
            update = news.FleetNews(self.version, [self._entry_for(agent, entry)], base)
            self.source.write(peer, "delta", msgspec.json.encode(update).decode(), self.version)

    def _entry_for(self, agent: int, entry: news.Entry) -> news.Entry:
        now = asyncio.get_running_loop().time()
        age = max(0.0, now - self.started[entry.server]) * 1e3 if self.started[entry.server] else None
        address = self.route(self.zone_of(agent), entry.zone, entry.address)
        return msgspec.structs.replace(entry, age_ms=age, address=address)

    def _initial_events(self, agent: int, last: int | None) -> list[tuple[str, str, int]]:
        if last == self.version:
            return []
        full = news.FleetNews(self.version, [self._entry_for(agent, e) for e in self.entries.values()])
        return [("full", msgspec.json.encode(full).decode(), self.version)]

    def _record_written(self, agent: int, event: str, data: str) -> None:
        now = asyncio.get_running_loop().time()
        update: news.FleetNews = msgspec.json.decode(data, type=news.FleetNews)
        for e in update.entries:
            self.tape.add(ToldServer(now, agent, e.server, e.state, e.build, e.incarnation))
        if update.base is None:
            listed = {e.server for e in update.entries}
            for server in self.started:
                if server not in listed:
                    self.tape.add(ToldServer(now, agent, server, "gone", 0, 0))


@dataclass(slots=True, eq=False)
class Fleet:
    """All machines: starts, drains and ends their processes, and relays traffic between zones."""

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
    refuses_while_draining: bool = True  # whether a draining appliance refuses new requests
    _dedup_tables: dict[str, DedupTable] = field(default_factory=dict)
    _relays: dict[tuple[str, str], Link] = field(default_factory=dict)
    _leaving: set[Appliance] = field(default_factory=set)
    _servers_started: int = 0
    _last_incarnation: int = 0

    def __post_init__(self) -> None:
        self.list = FleetList(self.tape, self.zone_of, self.route, self.lag_s)
        self._dedup_tables = {zone: DedupTable(self.dedup_s) for zone in self.zones}
        self.links = {(a, b): LinkState() for a in self.zones for b in self.zones if a != b}

    def route(self, near: str, far: str, address: str) -> str:
        """The address by which an agent in zone `near` reaches one in zone `far`: that of their relay, if any."""
        relay = self._relays.get((near, address))
        return relay.address if relay else address

    async def start(self, position: Position, build: int, cold: bool, server: int | None = None) -> Appliance:
        """Start a process of a build at a position; a restart keeps the server's id."""
        if server is None:
            self._servers_started += 1
            server = self._servers_started * 7919 % 100003  # so that ids do not show the order of starts
        self._last_incarnation += 1
        appliance = Appliance(
            server,
            self._last_incarnation,
            build,
            position.zone,
            position.spec,
            self.tape,
            self.rng,
            self._dedup_tables[position.zone],
            self.flaws.get(build),
            cold,
            self._current_slowdown,
        )
        address = await appliance.start()
        for zone in self.zones:
            if zone != position.zone:
                relay = Link(address, self.links[zone, position.zone])
                await relay.start()
                self._relays[zone, address] = relay
        position.appliances.append(appliance)
        self._publish_state(position, appliance, "ready")
        return appliance

    def _current_slowdown(self) -> float:
        shared = [f for b, f in self.flaws.items() if f.kind == "shared"]
        running = [a for p in self.positions for a in p.appliances if not a.down]
        for flaw in shared:
            bad = sum(len(a.running) for a in running if a.flaw is flaw)
            total = max(sum(len(a.running) for a in running), 1)
            return self.slowdown * (1 + (flaw.factor - 1) * bad / total)
        return self.slowdown

    def _publish_state(self, position: Position, appliance: Appliance, state: State) -> None:
        entry = news.Entry(
            appliance.server,
            position.zone,
            state,
            appliance.build,
            appliance.listener.address,
            appliance.incarnation,
            weight=position.spec.cores * position.spec.speed,
        )
        self.list.publish_change(entry, appliance.started if appliance.cold else 0.0)

    def drain(self, position: Position, appliance: Appliance, end_after_s: float) -> None:
        """Publish that a process drains; it refuses new requests and ends after `end_after_s`."""
        appliance.draining = self.refuses_while_draining
        self._leaving.add(appliance)
        self._publish_state(position, appliance, "draining")
        loop = asyncio.get_running_loop()
        loop.call_later(end_after_s, self.end, position, appliance, True)

    def end(self, position: Position, appliance: Appliance, graceful: bool = False) -> None:
        """End a process and publish that it is gone."""
        if appliance in position.appliances:
            position.appliances.remove(appliance)
            self._leaving.discard(appliance)
            appliance.stop(graceful)
            self._publish_state(position, appliance, "gone")

    def newest(self, position: Position) -> Appliance | None:
        """The newest process at a position that accepts work."""
        ready = [a for a in position.appliances if not a.down and not a.draining and a not in self._leaving]
        return ready[-1] if ready else None

    def close(self) -> None:
        """End all processes, relays and the list."""
        for position in self.positions:
            for appliance in position.appliances:
                appliance.stop()
        for relay in self._relays.values():
            relay.close()
        self.list.source.close()
