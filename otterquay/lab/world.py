"""The stand-ins around the agents of one run, and the faults of its day."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from otterquay.config.schema import Service
from otterquay.lab.day import Day, FaultPlan
from otterquay.lab.hosts import AgentHost, AgentPlacement
from otterquay.lab.ports import TCP, UDP, Kind, PortClaim, claim_ports
from otterquay.ordered_set import OrderedSet
from otterquay.standins.appliance import Appliance, Flaw, MachineSpec
from otterquay.standins.clients import Clients, Habit
from otterquay.standins.desk import Desk
from otterquay.standins.fleet import Fleet, Position
from otterquay.standins.links import Link
from otterquay.standins.tape import AgentDown, AgentUp, Severed, Stalled, Stood, Tape

HEARTBEAT_S = 0.02
SETTLE_S = 1.0  # from the agents' start to the first request


@dataclass(slots=True, eq=False)
class World:
    """Everything except the agents' code; `make_host` creates the agent for a placement."""

    day: Day
    service: Service
    seed: int
    make_host: Callable[[AgentPlacement], AgentHost]
    log: Callable[[str], None] = lambda text: None
    tape: Tape = field(default_factory=Tape)
    record_latency: Callable[[str, float], None] = lambda cls, seconds: None
    fleet: Fleet = field(init=False)
    desk: Desk = field(init=False)
    clients: Clients = field(init=False)
    agents: list[AgentHost] = field(default_factory=list)
    running: dict[int, str] = field(default_factory=dict)
    relays: list[Link] = field(default_factory=list)
    chat: dict[str, str] = field(default_factory=dict)
    burst: float = 1.0
    _overrides: dict[tuple[int, str], list[tuple[object, object]]] = field(default_factory=dict)
    # by agent: number of overlapping pauses, and start of the first
    _pauses: dict[int, tuple[int, float]] = field(default_factory=dict)
    _tasks: OrderedSet[asyncio.Task[None]] = field(default_factory=OrderedSet)
    _claims: list[PortClaim] = field(default_factory=list)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _watch_stalls(self) -> None:
        """Record stalls of this event loop: the times of all events on the tape may then be late."""
        while True:
            due = self._now() + HEARTBEAT_S
            await asyncio.sleep(HEARTBEAT_S)
            if (late := self._now() - due) > HEARTBEAT_S:
                self.tape.add(Stalled(self._now(), late))

    async def run(self) -> None:
        """Play the whole day."""
        watcher = asyncio.get_running_loop().create_task(self._watch_stalls())
        try:
            await self._start()
            faults = asyncio.get_running_loop().create_task(self.play())
            await self._traffic()
            await faults
            for task in list(self._tasks):
                await task
        finally:
            await self._close()
            watcher.cancel()

    async def _traffic(self) -> None:
        await self.clients.offer(self._rate, self.day.duration / 1e3)

    def _rate(self, _: float) -> float:
        return self.day.traffic.rate * self.burst

    async def start_standins(self) -> tuple[str, str]:
        """Start the appliances, the fleet list and the desk; returns the addresses of list and desk."""
        day, service, rng = self.day, self.service, random.Random(self.seed)
        plan, zones, rules = day.fleet, self.service.zones, self.service.rules
        keyed = [c.repeat_window for c in service.class_.values() if c.effect == "keyed"]
        self.fleet = Fleet(
            self.tape,
            rng,
            zones,
            max(keyed, default=5000.0) / 1e3 * 1.25,
            lambda n: day.agents.zones[n],
            plan.list_lag / 1e3,
        )
        for i in range(plan.machines):
            shape = MachineSpec(
                plan.cores,
                rng.uniform(plan.speed_least, plan.speed_most),
                plan.queue,
                plan.max_connections,
                plan.handshake / 1e3,
                rules.start_capacity,
                rules.cold / 1e3,
                rules.fall_multiple,
                rules.fall / 1e3,
            )
            self.fleet.positions.append(Position(zones[i % len(zones)], shape))
        for name, build in day.build.items():
            if build.flaw != "none":
                self.fleet.flaws[int(name)] = Flaw(
                    build.flaw, build.share, build.of_class, build.factor, build.busy, build.after / 1e3
                )
        fleet_at = await self.fleet.list.source.start()
        for position in self.fleet.positions:
            await self.fleet.start(position, 1, cold=False)
        self.desk = Desk(self.tape, self.fleet, service, rng, plan.desk_lag / 1e3, plan.start / 1e3)
        desk_at = await self.desk.start()
        await asyncio.sleep(plan.list_lag / 1e3 + 0.05)
        return fleet_at, desk_at

    def create_clients(self, agents: dict[int, str]) -> Clients:
        """Create the clients of the day, for agents at these addresses."""
        day, service = self.day, self.service
        request_mix = [
            Habit(
                name,
                service.class_[name].effect,
                service.class_[name].scope,
                c.share,
                (c.work_least, c.work_most),
                service.class_[name].deadline / 1e3,
                service.class_[name].repeat_window / 1e3,
            )
            for name, c in day.traffic.class_.items()
        ]
        tenants = [(n, t.share) for n, t in service.tenant.items()] or [("", 1.0)]
        clients = Clients(
            self.tape,
            random.Random(self.seed + 1),
            request_mix,
            tenants,
            agents,
            day.agents.weights,
            day.traffic.retries,
            day.traffic.backoff / 1e3,
            (day.traffic.patience_least, 1.0),
        )
        clients.latencies = self.record_latency
        return clients

    async def _start(self) -> None:
        fleet_at, desk_at = await self.start_standins()
        count = len(self.day.agents.zones)
        ports = self.reserve_ports(count, UDP) if self.service.limits.peers else []
        peers = {str(i): f"127.0.0.1:{port}" for i, port in enumerate(ports)}
        ports = self.reserve_ports(count, TCP) if self.service.chat else []
        self.chat = {str(i): f"127.0.0.1:{port}" for i, port in enumerate(ports)}
        for number, zone in enumerate(self.day.agents.zones):
            feeds = [await self._reachable_address(zone, at) for at in (fleet_at, desk_at)]
            place = AgentPlacement(
                number,
                count,
                zone,
                f"http://{feeds[0]}",
                f"http://{feeds[1]}",
                self.seed * 100 + number,
                peers,
                self.chat,
            )
            self.agents.append(self.make_host(place))
        await asyncio.gather(*(self._start_agent(n) for n in range(count)))
        self.clients = self.create_clients(self.running)
        await asyncio.sleep(SETTLE_S)

    def reserve_ports(self, count: int, kind: Kind) -> list[int]:
        """Reserve ports for agents to bind, until the end of the day."""
        claim = claim_ports(count, kind)
        self._claims.append(claim)
        return claim.ports

    async def _reachable_address(self, zone: str, address: str) -> str:
        """Address of the list or desk as seen from a zone; outside the first zone, a relay over the link to it."""
        home = self.fleet.zones[0]
        if zone == home:
            return address
        relay = Link(address, self.fleet.links[zone, home])
        self.relays.append(relay)
        return await relay.start()

    async def _start_agent(self, number: int) -> None:
        self.tape.add(AgentUp(self._now(), number))
        self.running[number] = await self.agents[number].start()

    async def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for number, host in enumerate(self.agents):
            host.pause(False)
            self.running.pop(number, None)
            await host.stop()
            self.tape.add(AgentDown(self._now(), number, "stopped"))
        if hasattr(self, "clients"):
            self.clients.close()
        if hasattr(self, "desk"):
            self.desk.close()
        for relay in self.relays:
            relay.close()
        if hasattr(self, "fleet"):
            self.fleet.close()
        for claim in self._claims:  # only now, as agents bind these ports until they end
            claim.release()

    # --- builds and faults ---
    async def play(self) -> None:
        """Offer builds and inject faults, each at its time from now on."""
        begin = self._now()
        script: list[tuple[float, Callable[[], None]]] = []
        for name, build in self.day.build.items():
            script.append((build.at, lambda name=name, flaw=build.flaw: self._offer_build(int(name), flaw)))  # type: ignore[misc]
        for fault in self.day.fault:
            script.append((fault.at, lambda fault=fault: self._begin_fault(fault)))  # type: ignore[misc]
        for at, act in sorted(script, key=lambda item: item[0]):
            await asyncio.sleep(max(0.0, begin + at / 1e3 - self._now()))
            act()

    def _offer_build(self, build: int, flaw: str) -> None:
        self.log(f"build {build} is offered" + (f" (faulty: {flaw})" if flaw != "none" else ""))
        self.desk.offer(build)

    def _begin_fault(self, fault: FaultPlan) -> None:
        if fault.kind.endswith("_agent") and not self.agents:
            return  # no agents in this run
        lasts = f" for {fault.lasts / 1e3:g} s" if fault.lasts else ""
        self.log(f"fault: {fault.kind.replace('_', ' ')}{lasts}")
        task = asyncio.get_running_loop().create_task(self._fault(fault))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fault(self, fault: FaultPlan) -> None:
        handler: Callable[[FaultPlan], object] = getattr(self, f"_{fault.kind}")
        done = handler(fault)
        if asyncio.iscoroutine(done):
            return await done  # type: ignore[no-any-return]
        await asyncio.sleep(fault.lasts / 1e3)
        if callable(done):
            done()

    def _override(self, targets: Sequence[object], **values: object) -> Callable[[], None]:
        """Set attributes and return a function that undoes it. Of overlapping overrides the newest applies."""
        token = object()
        for target in targets:
            for name, value in values.items():
                stack = self._overrides.setdefault((id(target), name), [(None, getattr(target, name))])
                stack.append((token, value))
                setattr(target, name, value)

        def undo() -> None:
            for target in targets:
                for name in values:
                    stack = self._overrides[id(target), name]
                    stack[:] = [one for one in stack if one[0] is not token]
                    setattr(target, name, stack[-1][1])

        return undo

    def _links(self, fault: FaultPlan) -> list[object]:
        a, b = fault.zones
        return [self.fleet.links[a, b], self.fleet.links[b, a]]

    def _servers(self, fault: FaultPlan) -> list[Appliance]:
        ready = [a for p in self.fleet.positions if (a := self.fleet.newest(p))]
        return self.fleet.rng.sample(ready, min(fault.count, len(ready)))

    def _fault_links(self, fault: FaultPlan, lost: bool, **values: object) -> Callable[[], None]:
        since, home, undo = self._now(), self.fleet.zones[0], self._override(self._links(fault), **values)
        affected = [
            n for n, zone in enumerate(self.day.agents.zones) if zone != home and {zone, home} == set(fault.zones)
        ]

        def repair() -> None:
            undo()
            # a slow link passes on its backlog piece by piece, each with the full delay: allow for ten pieces
            late = 0.0 if lost else 10 * fault.factor / 1e3
            self.tape.add(Severed(self._now() + late, affected, since, lost, late))

        return repair

    def _zone_cut(self, fault: FaultPlan) -> Callable[[], None]:
        return self._fault_links(fault, True, cut=True)

    def _one_way(self, fault: FaultPlan) -> Callable[[], None]:
        return self._fault_links(fault, True, one_way=True)

    def _link_reset(self, fault: FaultPlan) -> Callable[[], None]:
        return self._fault_links(fault, True, reset=True)

    def _link_slow(self, fault: FaultPlan) -> Callable[[], None]:
        return self._fault_links(fault, False, delay_s=fault.factor / 1e3)

    async def _zone_loss(self, fault: FaultPlan) -> None:
        lost = [(p, a) for p in self.fleet.positions if p.zone == fault.zones[0] for a in list(p.appliances)]
        for position, appliance in lost:
            self.fleet.end(position, appliance)
        await asyncio.sleep(fault.lasts / 1e3)
        for position, appliance in lost:
            await self.fleet.start(position, appliance.build, True, appliance.server)

    async def _kill_agent(self, fault: FaultPlan) -> None:
        if self.running.pop(fault.agent, None) is None:
            return  # not running
        await self.agents[fault.agent].kill()
        self.tape.add(AgentDown(self._now(), fault.agent, "killed"))
        await asyncio.sleep(fault.lasts / 1e3)
        await self._start_agent(fault.agent)

    async def _stop_agent(self, fault: FaultPlan) -> None:
        if self.running.pop(fault.agent, None) is None:
            return  # not running
        await self.agents[fault.agent].stop()
        self.tape.add(AgentDown(self._now(), fault.agent, "stopped"))
        await asyncio.sleep(fault.lasts / 1e3)
        await self._start_agent(fault.agent)

    def _pause_agent(self, fault: FaultPlan) -> Callable[[], None]:
        number, address = fault.agent, self.running.get(fault.agent)
        if address is None:
            return lambda: None  # not running
        count, since = self._pauses.get(number, (0, self._now()))
        self._pauses[number] = count + 1, since
        self.agents[number].pause(True)

        def resume() -> None:
            count, since = self._pauses.pop(number)
            if count > 1:
                self._pauses[number] = count - 1, since
                return
            self.agents[number].pause(False)
            if self.running.get(number) == address:
                self.tape.add(Stood(self._now(), number, since))

        return resume

    async def _drain(self, fault: FaultPlan) -> None:
        drained = self._servers(fault)
        for position in self.fleet.positions:
            for appliance in [a for a in position.appliances if a in drained]:
                self.fleet.drain(position, appliance, self.service.rules.drain_grace / 1e3 + 1.0)
                await self.fleet.start(position, appliance.build, cold=True)

    async def _kill_servers(self, fault: FaultPlan) -> None:
        killed = self._servers(fault)
        places = [(p, a) for p in self.fleet.positions for a in p.appliances if a in killed]
        for position, appliance in places:
            self.fleet.end(position, appliance)
        await asyncio.sleep(fault.lasts / 1e3)
        for position, appliance in places:  # with its old id, cold
            await self.fleet.start(position, appliance.build, True, appliance.server)

    def _pause_servers(self, fault: FaultPlan) -> None:
        for appliance in self._servers(fault):
            appliance.pause(fault.lasts / 1e3)

    def _slow_servers(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override(self._servers(fault), slow=fault.factor)

    def _fail_servers(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override(self._servers(fault), fail_share=fault.share)

    def _silent_servers(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override(self._servers(fault), silent=True)

    def _garbage_servers(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override(self._servers(fault), garbage=True)

    def _midway_servers(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override(self._servers(fault), midway=True)

    def _twice_servers(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override(self._servers(fault), twice=True)

    def _shared_slow(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override([self.fleet], slowdown=fault.factor)

    def _burst(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override([self], burst=fault.factor)

    def _desk_stall(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override([self.desk], stalled=True)

    def _lose_vote_answers(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override([self.desk], lose_answers=True)

    def _list_late(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override([self.fleet.list], extra_lag_s=fault.factor)

    def _drop_feeds(self, fault: FaultPlan) -> None:
        self.fleet.list.source.drop_all()
        self.desk.source.drop_all()

    def _repeat_feeds(self, fault: FaultPlan) -> Callable[[], None]:
        return self._override([self.fleet.list.source, self.desk.source], twice=True)
