"""The release desk: offers builds in stages, counts votes, tells stage and cap; can stall and lose answers."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec

from otterquay.config.schema import Service
from otterquay.protocol import news
from otterquay.protocol.http import HttpRequest
from otterquay.standins.fleet import Fleet, Position
from otterquay.standins.http import EventSource, Peer, json_answer
from otterquay.standins.tape import Moved, Tape, ToldStage, Voted


@dataclass(slots=True)
class Standing:
    """Where the newest build stands."""

    build: int
    stage: int
    phase: Literal["trial", "going_back", "released", "withdrawn"]
    cap: float
    since: float


@dataclass(slots=True, eq=False)
class Desk:
    """The desk and its orders to the fleet."""

    tape: Tape
    fleet: Fleet
    service: Service
    rng: random.Random
    lag_s: float = 0.2
    start_s: float = 0.5
    source: EventSource = field(init=False)
    standing: Standing = field(init=False)
    previous: int = 1
    votes: dict[int, tuple[int, int, str, float]] = field(default_factory=dict)
    stalled: bool = False
    lose_answers: bool = False
    held: set[str] = field(default_factory=set)
    _number: int = 0
    _running_since: float = math.inf
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _moving: bool = False

    def __post_init__(self) -> None:
        self.source = EventSource("desk-1", self._first, self._wrote, self._vote)
        self.standing = Standing(1, 0, "released", 1.0, 0.0)

    async def start(self) -> str:
        """Listen, begin to tell the stage anew at the settings' interval; returns HOST:PORT."""
        self.standing.since = asyncio.get_running_loop().time()
        address = await self.source.start()
        self._later(self._repeat())
        return address

    def close(self) -> None:
        """Stop."""
        for task in list(self._tasks):
            task.cancel()
        self.source.close()

    def _later(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(self.service.rollout.push / 1e3)
            self._publish()

    # --- telling ---
    def _state(self) -> news.Stage:
        s, now = self.standing, asyncio.get_running_loop().time()
        return news.Stage(s.build, s.stage, s.phase, s.cap, (now - s.since) * 1e3)

    def _first(self, agent: int, last: int | None) -> list[tuple[str, str, int]]:
        if last == self._number:
            return []
        return [("stage", msgspec.json.encode(self._state()).decode(), self._number)]

    def _wrote(self, agent: int, event: str, data: str) -> None:
        if event == "stage":
            told: news.Stage = msgspec.json.decode(data, type=news.Stage)
            now = asyncio.get_running_loop().time()
            self.tape.add(ToldStage(now, agent, told.build, told.stage, told.phase, told.cap))

    def _publish(self) -> None:
        if not self.stalled:
            self._number += 1
            self.source.publish("stage", msgspec.json.encode(self._state()).decode(), self._number)

    def _move(self, stage: int, phase: Literal["trial", "going_back", "released", "withdrawn"]) -> None:
        now, caps = asyncio.get_running_loop().time(), self.service.rollout.stage
        cap = {"trial": caps[min(stage, len(caps) - 1)].cap, "released": 1.0}.get(phase, 0.0)
        self.standing = Standing(self.standing.build, stage, phase, cap, now)
        self.votes.clear()
        self.tape.add(Moved(now, self.standing.build, stage, phase, cap))
        self._number += 1  # an answer to a vote may tell of it before the event does
        asyncio.get_running_loop().call_later(self.lag_s, self._publish)

    # --- stages ---
    def offer(self, build: int) -> None:
        """Offer a build; one still on trial is taken off first."""
        self._later(self._offer(build))

    async def _offer(self, build: int) -> None:
        if self.standing.phase == "trial":
            await self._go_back()
        elif self.standing.phase == "released":
            self.previous = self.standing.build
        self.standing.build = build
        self._move(0, "trial")
        await self._staff()

    async def _staff(self) -> None:
        """Bring the stage's share of positions to the build on trial."""
        roll, build, stage = self.service.rollout, self.standing.build, self.standing.stage
        self._running_since = math.inf
        wanted = max(1, round(roll.stage[stage].share * len(self.fleet.positions)))
        zones = self.fleet.zones
        # one zone after the other, so that every zone has some
        order = sorted(range(len(self.fleet.positions)), key=lambda i: (i // len(zones), i % len(zones)))
        for index in order[:wanted]:
            position = self.fleet.positions[index]
            if any(a.build == build for a in position.appliances):
                continue
            await asyncio.sleep(self.start_s / max(wanted, 1))
            if (self.standing.build, self.standing.phase) != (build, "trial"):
                return
            await self._replace(position, build, keep=roll.replacement == "beside")
        self._running_since = asyncio.get_running_loop().time()
        self._later(self._baked(build, stage))

    async def _replace(self, position: Position, build: int, keep: bool) -> None:
        earlier = [a for a in position.appliances if a.build != build and not a.down]
        await self.fleet.start(position, build, cold=True)
        if not keep:
            for appliance in earlier:
                self.fleet.drain(position, appliance, self.service.rules.drain_grace / 1e3 + 1.0)

    async def _baked(self, build: int, stage: int) -> None:
        await asyncio.sleep(self.service.rollout.bake / 1e3)
        if (self.standing.build, self.standing.stage) == (build, stage):
            self._count()

    def _standing_votes(self, verdict: str) -> int:
        now, life = asyncio.get_running_loop().time(), self.service.rollout.vote_life / 1e3
        s = self.standing
        return sum(
            build == s.build and said == verdict and now - at <= life and (verdict == "back" or stage == s.stage)
            for build, stage, said, at in self.votes.values()
        )

    def _count(self) -> None:
        roll, s, now = self.service.rollout, self.standing, asyncio.get_running_loop().time()
        if self.stalled or self._moving:
            return
        if s.phase in ("trial", "released") and s.build > 1 and self._standing_votes("back") >= roll.back_votes:
            self._moving = True
            return self._later(self._go_back())
        baked = now - self._running_since >= roll.bake / 1e3
        if (
            s.phase == "trial"
            and baked
            and roll.control != "timer"
            and (self._standing_votes("on") >= roll.on_votes)
        ):
            self._moving = True
            self._later(self._go_on())

    async def _go_on(self) -> None:
        s = self.standing
        if s.stage + 1 < len(self.service.rollout.stage):
            self._move(s.stage + 1, "trial")
            self._running_since, self._moving = math.inf, False
            return await self._staff()
        self._moving = False
        self._move(s.stage, "released")
        for position in self.fleet.positions:
            for appliance in [a for a in position.appliances if a.build != s.build and not a.draining]:
                self.fleet.drain(position, appliance, self.service.rules.drain_grace / 1e3 + 1.0)

    async def _go_back(self) -> None:
        build = self.standing.build
        self._move(self.standing.stage, "going_back")
        for position in self.fleet.positions:
            bad = [a for a in position.appliances if a.build == build]
            if bad and not any(a.build != build and not a.down for a in position.appliances):
                await asyncio.sleep(self.start_s / len(self.fleet.positions))
                await self.fleet.start(position, self.previous, cold=True)
            for appliance in bad:
                self.fleet.drain(position, appliance, self.service.rules.drain_grace / 1e3 + 1.0)
        self._move(self.standing.stage, "withdrawn")
        self._moving = False

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
        s = self.standing
        present = vote.build == s.build and (
            (vote.verdict in ("on", "none") and s.phase == "trial" and vote.stage == s.stage)
            or (vote.verdict == "back" and s.phase in ("trial", "released"))
            or vote.verdict == "none"
        )
        if present and vote.verdict == "none":
            self.votes.pop(vote.agent, None)
        elif present:
            self.votes[vote.agent] = vote.build, vote.stage, vote.verdict, now
        state = self._state()
        if not self.lose_answers:
            answer = news.VoteAnswer("ok" if present else "moot", state, f"desk-1:{self._number}")
            self.tape.add(ToldStage(now, vote.agent, state.build, state.stage, state.phase, state.cap))
            peer.send(json_answer(200, msgspec.json.encode(answer)))
        self._count()
