"""Plays the script of a soak day: real processes between the stand-ins, with everything on the wire recorded."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from otterquay.agent.sockets import peer_closed
from otterquay.lab.attempt_audit import Audit
from otterquay.lab.ports import HOST, TCP, claim_ports
from otterquay.lab.soak import script as events
from otterquay.lab.soak.appliances import PORTS, SecondAnswer, SoakAppliance
from otterquay.lab.soak.clients import Clients, SeenByClients
from otterquay.lab.soak.feeds import Feeds
from otterquay.lab.soak.process import AgentProcess, ProcessRun, earliest_kill_s, wall_clock_ms
from otterquay.lab.soak.requests import RequestMaker
from otterquay.lab.soak.settings import ROLLOUT_STAGES
from otterquay.lab.soak.watch import Watch, count_descriptors
from otterquay.ordered_set import OrderedSet
from otterquay.standins import tape as tp
from otterquay.standins.feed_tape import FeedTape

PATIENT_KILL_S = 30.0  # after SIGTERM, where the verdict must not depend on how fast the machine is
REST_S = 2.0  # for clients to go, attempts to be given up and idle connections to end
CLOSE_S = 0.05  # for the ends of the connections of the stand-ins
FIRST_EXTRA_SERVER = 10_000  # number of the first server that only lengthens the list
SETTLE_S = 0.3  # after the last process has ended, for what is still on its way to the stand-ins
NEW_BUILD_STARTED_MS = 10**12  # long ago, so that a server of build 2 is warm
INITIAL_STATE = b"1 0 live 1 5"
BROKEN_CONFIGS = {"half": b'{"name": "n0", "listen": "127.0', "empty": b"", "foreign": b"[]"}


@dataclass
class Recording:
    """What the judge needs of one day."""

    script: events.Script
    seen: SeenByClients
    audit: Audit
    tape: tp.Tape
    runs: list[ProcessRun]
    longest_stall_s: float
    connections_left: list[str] = field(default_factory=list)
    second_answers: dict[bytes, SecondAnswer] = field(default_factory=dict)  # by request
    timed: bool = True  # whether SIGKILL came at its earliest moment and times are judged


class Day:
    """One soak day. `timed` is whether SIGKILL comes at the protocol page's earliest moment after SIGTERM."""

    def __init__(self, script: events.Script, timed: bool) -> None:
        self.script, self.timed = script, timed
        self._rng = random.Random(script.seed ^ 0x5EED)
        self.tape = tp.Tape()
        self.audit = Audit({c["name"].encode(): str(c["effect"]) for c in script.customer.classes})
        zones = script.customer.settings["localities"] or [""]
        self.appliances = [
            SoakAppliance(n, zones[n % len(zones)], n in script.relayed, self._rng, self.audit, self.tape)
            for n in range(script.appliances)
        ]
        self.now = asyncio.get_running_loop().time
        self.feeds = [
            Feeds(FeedTape(self.tape, agent, len(ROLLOUT_STAGES), self.now)) for agent in range(script.agents)
        ]
        maker = RequestMaker(self._rng, script.customer.settings, script.body_bytes)
        self.clients = Clients(maker, self._rng, self.tape, lambda id: id in self.audit.tries)
        self.state = INITIAL_STATE
        self._tasks: OrderedSet[asyncio.Task[None]] = OrderedSet()
        self._feeds_restored = 0.0

    async def play(self) -> Recording:
        """Play the day to its end and return what was recorded."""
        claim = claim_ports(self.script.agents + PORTS * self.script.appliances, TCP)
        agent_ports, appliance_ports = claim.ports[: self.script.agents], claim.ports[self.script.agents :]
        self.agents = [
            AgentProcess(number, port, self._configuration(number, port)) for number, port in enumerate(agent_ports)
        ]
        try:
            return await self._play(appliance_ports)
        finally:
            for task in list(self._tasks):
                task.cancel()
            for agent in self.agents:
                await agent.close()
            for appliance in self.appliances:
                appliance.close()
            for feeds in self.feeds:
                feeds.close()
            claim.release()
            await asyncio.sleep(CLOSE_S)

    async def _play(self, appliance_ports: list[int]) -> Recording:
        await self._start_stand_ins(appliance_ports)
        watch = Watch(self.agents)
        await asyncio.gather(*(self._start(agent) for agent in self.agents))
        for agent in self.agents:
            agent.run.descriptors_before = count_descriptors(agent)
        start = self.now()
        self.clients.start(self.agents, self.script.clients)
        for event in self.script.events:
            await asyncio.sleep(start + event.at - self.now())
            self._begin(event)
        await asyncio.sleep(start + self.script.ends_at - self.now())
        await self._end_all()
        await self.clients.finish()
        await asyncio.sleep(SETTLE_S)
        watch.stop()
        for feeds in self.feeds:
            for feed in list(feeds.tape.broken_since):
                feeds.tape.record_break(feed)
        runs = [run for agent in self.agents for run in agent.runs]
        self.tape.add(tp.Stalled(self.now(), watch.longest_stall_s))
        return Recording(
            self.script,
            self.clients.seen,
            self.audit,
            self.tape,
            runs,
            watch.longest_stall_s,
            self._connections_left(),
            {id: second for one in self.appliances for id, second in one.second_answers.items()},
            self.timed,
        )

    async def _start_stand_ins(self, appliance_ports: list[int]) -> None:
        """Start all; the ports of appliances are claimed, as agents of other programs may try any other port."""
        for feeds in self.feeds:
            await feeds.start()
        ports = iter(appliance_ports)
        for appliance in self.appliances:
            await appliance.start(next(ports), next(ports))
            if self.script.body_bytes:
                appliance.limit_receive_buffer()
            self._list(appliance)

    def _list(self, appliance: SoakAppliance) -> None:
        for feeds in self.feeds:
            feeds.set(appliance.id, **appliance.entry)

    def _configuration(self, number: int, port: int) -> Callable[[], bytes]:
        """The content of an agent's configuration file, made anew at each start and reload."""
        customer, feeds = self.script.customer, self.feeds[number]

        def configuration() -> bytes:
            build, stage, phase, cap, _ = self.state.decode().split(" ")
            file: dict[str, Any] = {
                "name": f"n{number}",
                "listen": f"{HOST}:{port}",
                "discovery": feeds.discoveries[feeds.pair].address,
                "seed": f"{self._rng.getrandbits(64):016x}",
                "limits": {"sockets": customer.sockets, "memory_mb": customer.memory_mb},
                "pipeline": {
                    "address": feeds.desks[feeds.pair].address,
                    "news": {
                        "release": int(build),
                        "tranche": int(stage),
                        "mode": phase,
                        "exposure": float(cap),
                        "old_ms": 5,
                    },
                },
                "known": feeds.known(),
                "settings": {**customer.settings, "groupSize": self.script.agents, "myNumber": number},
            }
            return json.dumps(file).encode()

        return configuration

    # --- processes ---
    async def _start(self, agent: AgentProcess) -> None:
        self.tape.add(tp.AgentUp(self.now(), agent.number))
        self.feeds[agent.number].tell_at_start()
        await agent.start()

    async def _ended(self, agent: AgentProcess) -> None:
        await agent.wait_ended()
        run = agent.run
        for since, until in run.pauses:
            self.tape.add(tp.Stood(until, agent.number, since))
        self.tape.add(tp.AgentDown(run.ended_at or self.now(), agent.number, "killed" if run.killed else "stopped"))

    async def _end(self, agent: AgentProcess, series: tuple[events.Step, ...]) -> None:
        """Send a series of signals, then SIGKILL as early as the protocol page allows; wait for the end.

        A stop that is over with the last signal puts SIGKILL off by its length. One that still lasts does not, as a
        supervisor's clock goes on while a process is stopped.
        """
        if not agent.is_ready():
            return
        for step in series:
            await asyncio.sleep(step.after_s)
            agent.send(step.signal)
        assert agent.run.term_at is not None
        longest_s = self.script.customer.longest_deadline_s
        kill_after_s = earliest_kill_s(longest_s) if self.timed else PATIENT_KILL_S
        try:
            held_s = agent.run.paused_s(agent.run.term_at)
            async with asyncio.timeout_at(agent.run.term_at + kill_after_s + held_s):
                await asyncio.shield(agent.wait_ended())
        except TimeoutError:
            agent.kill()
        await self._ended(agent)

    async def _end_all(self) -> None:
        """End all agents at one time; those that restart just now are waited for."""
        if self._tasks:
            await asyncio.wait(list(self._tasks))
        if self.script.rests:
            await self._rest()
        self.clients.stop_opening()
        for number in self.script.hang_at_end:
            self.appliances[number].mode = "hang"
        await asyncio.gather(*(self._end(agent, self.script.end_series) for agent in self.agents))

    async def _rest(self) -> None:
        """Let all clients go and all idle connections end, then count what the agents hold."""
        self.clients.rest()
        await asyncio.sleep(REST_S)
        for agent in self.agents:
            if agent.is_ready():
                agent.run.descriptors_at_rest = count_descriptors(agent)

    async def _restart(self, event: events.Restart) -> None:
        agent = self.agents[event.agent]
        if agent.is_ready():
            await self._end(agent, event.series)
            await asyncio.sleep(event.gap_s)
            await self._start(agent)

    async def _kill(self, event: events.Kill) -> None:
        agent = self.agents[event.agent]
        if agent.is_ready():
            agent.kill()
            await self._ended(agent)
            await asyncio.sleep(event.gap_s)
            await self._start(agent)

    async def _pause(self, event: events.Pause) -> None:
        agent = self.agents[event.agent]
        if agent.is_ready():
            agent.send("STOP")
            await asyncio.sleep(event.seconds)
            agent.send("CONT")

    async def _reload(self, event: events.Reload) -> None:
        agent, feeds = self.agents[event.agent], self.feeds[event.agent]
        for kind in event.configs:
            if not agent.is_ready():
                return
            if kind in ("same", "moved"):
                feeds.pair = 1 - feeds.pair if kind == "moved" else feeds.pair
                feeds.tape.feeds_broken("list", "stage")
                agent.file.write_bytes(self._configuration(agent.number, agent.port)())
            elif kind == "missing":
                agent.file.unlink(missing_ok=True)
            else:
                agent.file.write_bytes(BROKEN_CONFIGS[kind])
            agent.send("HUP")
            await asyncio.sleep(event.apart_s)

    # --- what happens ---
    def _begin(self, event: events.Event) -> None:
        match event:
            case events.Restart():
                self._spawn(self._restart(event))
            case events.Kill():
                self._spawn(self._kill(event))
            case events.Reload():
                self._spawn(self._reload(event))
            case events.Pause():
                self._spawn(self._pause(event))
            case events.Behaviour():
                self._behave(event)
            case events.Standstill():
                self.appliances[event.appliance].stand_still(event.seconds)
            case events.Drain():
                self._drain(event)
            case events.Cut():
                self._cut(event)
            case events.Stage():
                self._tell_stage(event)
            case events.DiscoveryTrouble():
                self._trouble_discovery(event)
            case events.LongList():
                self._lengthen_list(event)
            case events.Crowd():
                self.clients.crowd(self.agents[event.agent], event.clients, event.each)

    def _spawn(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _later(self, seconds: float, then: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(seconds, then)

    def _behave(self, event: events.Behaviour) -> None:
        appliance = self.appliances[event.appliance]
        appliance.mode = event.mode

        def recover() -> None:
            appliance.mode = "good"

        self._later(event.seconds, recover)

    def _drain(self, event: events.Drain) -> None:
        appliance = self.appliances[event.appliance]
        appliance.entry = {**appliance.entry, "lifecycle": "terminating"}
        self._list(appliance)

        def come_back() -> None:
            entry = {**appliance.entry, "lifecycle": "in_service"}
            if event.cold or entry["version_no"] != event.build:
                started_ms = wall_clock_ms() if event.cold else NEW_BUILD_STARTED_MS
                entry |= {"version_no": event.build, "startedAtMs": started_ms}
                for writer in appliance.stand_in.writers:
                    writer.transport.abort()
            appliance.entry = entry
            if event.cold:
                appliance.record_cold_start()
            self._list(appliance)

        self._later(event.seconds, come_back)

    def _cut(self, event: events.Cut) -> None:
        state = self.appliances[event.appliance].link_state
        state.cut = True

        def restore() -> None:
            state.cut = False

        self._later(event.seconds, restore)

    def _tell_stage(self, event: events.Stage) -> None:
        self.state = f"2 {event.stage} {event.phase} {event.cap:g} 5".encode()
        for feeds in self.feeds:
            feeds.publish(self.state)

    def _trouble_discovery(self, event: events.DiscoveryTrouble) -> None:
        if event.kind == "broken":
            for feeds in self.feeds:
                feeds.break_connections()
            return
        for feeds in self.feeds:
            if event.kind == "silent":
                feeds.tape.feeds_broken("list")
            feeds.set_trouble(event.kind == "silent", event.delay_s if event.kind == "slow" else 0.0)
        self._feeds_restored = max(self._feeds_restored, self.now() + event.seconds)
        self._later(event.seconds, self._restore_discovery)

    def _restore_discovery(self) -> None:
        if self.now() >= self._feeds_restored - 1e-3:
            for feeds in self.feeds:
                feeds.set_trouble()

    def _lengthen_list(self, event: events.LongList) -> None:
        template = {**self.appliances[0].entry, "lifecycle": "terminating"}
        names = [f"x-{FIRST_EXTRA_SERVER + number}" for number in range(event.servers)]
        for feeds in self.feeds:
            feeds.set_all({name: {**template, "instanceId": name} for name in names})

    def _connections_left(self) -> list[str]:
        """Connections of agents, which have all ended, at appliances without a link that may hide their end."""
        left = []
        for appliance in self.appliances:
            writers = appliance.stand_in.writers
            if writers and not appliance.relayed:
                ended = sum(peer_closed(writer.transport) for writer in writers)
                left.append(f"{appliance.id}: {len(writers)}, of which {ended} have ended, unread")
        return left


async def play(script: events.Script, timed: bool = True) -> Recording:
    """Play one day."""
    return await Day(script, timed).play()
