"""The release desk: offers builds in stages, counts votes, publishes stage and cap; can stall and lose answers."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec

from otterquay.config.schema import Service
from otterquay.ordered_set import OrderedSet
from otterquay.protocol import news
from otterquay.protocol.http import HttpRequest
from otterquay.standins.fleet import Fleet, Position
from otterquay.standins.http import EventSource, Peer, json_answer
from otterquay.standins.tape import Moved, Tape, ToldStage, Voted


@dataclass(slots=True)
class BuildState:
    """The state of the newest build."""

    build: int
    stage: int
    phase: Literal["trial", "going_back", "released", "withdrawn"]
    cap: float
    since: float


@dataclass(slots=True, eq=False)
class Desk:
    """The desk, which starts and drains servers of the fleet."""

    tape: Tape
    fleet: Fleet
    service: Service
    rng: random.Random
    lag_s: float = 0.2
    start_s: float = 0.5
    source: EventSource = field(init=False)
    current: BuildState = field(init=False)
    previous: int = 1
    votes: dict[int, tuple[int, int, str, float]] = field(default_factory=dict)
    stalled: bool = False
    lose_answers: bool = False
    held: set[str] = field(default_factory=set)
    _number: int = 0
    _running_since: float = math.inf
    _tasks: OrderedSet[asyncio.Task[None]] = field(default_factory=OrderedSet)
    _changing_phase: bool = False

    def __post_init__(self) -> None:
        self.source = EventSource("desk-1", self._initial_events, self._record_written, self._vote)
        self.current = BuildState(1, 0, "released", 1.0, 0.0)

    async def start(self) -> str:
        """Listen, and publish the stage at the interval of the settings; returns HOST:PORT."""
        self.current.since = asyncio.get_running_loop().time()
        address = await self.source.start()
        self._spawn(self._repeat())
        return address

    def close(self) -> None:
        """Stop."""
        for task in list(self._tasks):
            task.cancel()
        self.source.close()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(self.service.rollout.push / 1e3)
            self._publish()

    # --- publishing ---
    def _state(self) -> news.Stage:
        s, now = self.current, asyncio.get_running_loop().time()
        return news.Stage(s.build, s.stage, s.phase, s.cap, (now - s.since) * 1e3)

    def _initial_events(self, agent: int, last: int | None) -> list[tuple[str, str, int]]:
        if last == self._number:
            return []
        return [("stage", msgspec.json.encode(self._state()).decode(), self._number)]

    def _record_written(self, agent: int, event: str, data: str) -> None:
        if event == "stage":
            published: news.Stage = msgspec.json.decode(data, type=news.Stage)
            now = asyncio.get_running_loop().time()
            self.tape.add(ToldStage(now, agent, published.build, published.stage, published.phase, published.cap))

    def _publish(self) -> None:
        if not self.stalled:
            self._number += 1
            self.source.publish("stage", msgspec.json.encode(self._state()).decode(), self._number)

    def _enter_phase(self, stage: int, phase: Literal["trial", "going_back", "released", "withdrawn"]) -> None:
        now, caps = asyncio.get_running_loop().time(), self.service.rollout.stage
        cap = {"trial": caps[min(stage, len(caps) - 1)].cap, "released": 1.0}.get(phase, 0.0)
        self.current = BuildState(self.current.build, stage, phase, cap, now)
        self.votes.clear()
        self.tape.add(Moved(now, self.current.build, stage, phase, cap))
        self._number += 1  # an answer to a vote may report the change before the event does
        asyncio.get_running_loop().call_later(self.lag_s, self._publish)

    # --- stages ---
    def offer(self, build: int) -> None:
        """Offer a build; one that is still on trial is withdrawn first."""
        self._spawn(self._offer(build))

    async def _offer(self, build: int) -> None:
        if self.current.phase == "trial":
            await self._withdraw()
        elif self.current.phase == "released":
            self.previous = self.current.build
        self.current.build = build
        self._enter_phase(0, "trial")
        await self._start_servers()

    async def _start_servers(self) -> None:
        """Start the build on trial at the stage's share of positions."""
        rollout, build, stage = self.service.rollout, self.current.build, self.current.stage
        self._running_since = math.inf
        wanted = max(1, round(rollout.stage[stage].share * len(self.fleet.positions)))
        zones = self.fleet.zones
        # round-robin over zones, so that every zone gets some
        order = sorted(range(len(self.fleet.positions)), key=lambda i: (i // len(zones), i % len(zones)))
        for index in order[:wanted]:
            position = self.fleet.positions[index]
            if any(a.build == build for a in position.appliances):
                continue
            await asyncio.sleep(self.start_s / max(wanted, 1))
            if (self.current.build, self.current.phase) != (build, "trial"):
                return
            await self._replace(position, build, keep=rollout.replacement == "beside")
        self._running_since = asyncio.get_running_loop().time()
        self._spawn(self._count_after_bake(build, stage))

    async def _replace(self, position: Position, build: int, keep: bool) -> None:
        earlier = [a for a in position.appliances if a.build != build and not a.down]
        await self.fleet.start(position, build, cold=True)
        if not keep:
            for appliance in earlier:
                self.fleet.drain(position, appliance, self.service.rules.drain_grace / 1e3 + 1.0)

    async def _count_after_bake(self, build: int, stage: int) -> None:
        await asyncio.sleep(self.service.rollout.bake / 1e3)
        if (self.current.build, self.current.stage) == (build, stage):
            self._count_votes()

    def _live_votes(self, verdict: str) -> int:
        now, vote_life_s = asyncio.get_running_loop().time(), self.service.rollout.vote_life / 1e3
        s = self.current
        return sum(
            build == s.build
            and kind == verdict
            and now - at <= vote_life_s
            and (verdict == "back" or stage == s.stage)
            for build, stage, kind, at in self.votes.values()
        )

    def _count_votes(self) -> None:
        rollout, s, now = self.service.rollout, self.current, asyncio.get_running_loop().time()
        if self.stalled or self._changing_phase:
            return
        if s.phase in ("trial", "released") and s.build > 1 and self._live_votes("back") >= rollout.back_votes:
            self._changing_phase = True
            return self._spawn(self._withdraw())
        baked = now - self._running_since >= rollout.bake / 1e3
        if (
            s.phase == "trial"
            and baked
            and rollout.control != "timer"
            and (self._live_votes("on") >= rollout.on_votes)
        ):
            self._changing_phase = True
            self._spawn(self._advance_stage())

    async def _advance_stage(self) -> None:
        s = self.current
        if s.stage + 1 < len(self.service.rollout.stage):
            self._enter_phase(s.stage + 1, "trial")
            self._running_since, self._changing_phase = math.inf, False
            return await self._start_servers()
        self._changing_phase = False
        self._enter_phase(s.stage, "released")
        for position in self.fleet.positions:
            for appliance in [a for a in position.appliances if a.build != s.build and not a.draining]:
                self.fleet.drain(position, appliance, self.service.rules.drain_grace / 1e3 + 1.0)

    async def _withdraw(self) -> None:
        build = self.current.build
        self._enter_phase(self.current.stage, "going_back")
        for position in self.fleet.positions:
            withdrawn = [a for a in position.appliances if a.build == build]
            if withdrawn and not any(a.build != build and not a.down for a in position.appliances):
                await asyncio.sleep(self.start_s / len(self.fleet.positions))
                await self.fleet.start(position, self.previous, cold=True)
            for appliance in withdrawn:
                self.fleet.drain(position, appliance, self.service.rules.drain_grace / 1e3 + 1.0)
        self._enter_phase(self.current.stage, "withdrawn")
        self._changing_phase = False

    # --- votes ---
    def _vote(self, peer: Peer, request: HttpRequest) -> None:
        try:
            vote: news.Vote = msgspec.json.decode(request.body, type=news.Vote)
        except (ValueError, msgspec.MsgspecError):
            return peer.send(json_answer(400, b"{}"))
        now = asyncio.get_running_loop().time()
        self.tape.add(Voted(now, vote.agent, vote.build, vote.stage, vote.verdict))
        if self.stalled:
            return  # no answer
        s = self.current
        is_current = vote.build == s.build and (
            (vote.verdict in ("on", "none") and s.phase == "trial" and vote.stage == s.stage)
            or (vote.verdict == "back" and s.phase in ("trial", "released"))
            or vote.verdict == "none"
        )
        if is_current and vote.verdict == "none":
            self.votes.pop(vote.agent, None)
        elif is_current:
            self.votes[vote.agent] = vote.build, vote.stage, vote.verdict, now
        state = self._state()
        if not self.lose_answers:
            answer = news.VoteAnswer("ok" if is_current else "moot", state, f"desk-1:{self._number}")
            self.tape.add(ToldStage(now, vote.agent, state.build, state.stage, state.phase, state.cap))
            peer.send(json_answer(200, msgspec.json.encode(answer)))
        self._count_votes()
